#pragma once

#include "base/time.h"
#include "process/server_directory.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What one daemon that follows a store hands to another: the newest
/// configuration as the store holds it, and the backend servers.
struct fleet_copy {
  std::uint64_t Version = 0;
  /// The record's value; decoded by whoever takes the copy.
  std::string Configuration;
  std::vector<server_statement> Servers;
};

/// Decides when a daemon asks a peer for a copy, and which peer. It asks one at
/// a time, and not at once: peers hear of a new version all at the same time,
/// and few have it then.
class copy_requester {
public:
  /// Over this time the daemons that hear of a version spread their questions.
  /// A sixth of the two seconds in which a version has to be in force.
  static constexpr milliseconds RequestJitter{300};
  /// Between a failed question and the next one.
  static constexpr milliseconds RetryDelay{100};
  /// Failed questions for one version after which the store is read instead.
  static constexpr std::size_t MaxFailures = 3;
  /// After this time peers that tell of the version are asked once more: the
  /// store may be dark.
  static constexpr milliseconds RetryRoundDelay{1'000};

  copy_requester(std::string_view DataCentre, std::uint64_t Seed)
      : DataCentre(DataCentre), Random(Seed) {}

  /// A peer has told which version it has.
  void onPeerVersion(const proxy_member &Peer, std::uint64_t Version,
                     steady_time Now);

  /// Whom to ask now for a version beyond \p Have; its end has to be told.
  std::optional<endpoint_text> nextPeer(std::uint64_t CurrentVersion,
                                        steady_time Now);
  /// The copy has come and told something new.
  void onCopy();
  /// There was no copy, or it told nothing new.
  void onFailure(steady_time Now);

  /// Whether peers were asked in vain for a version beyond \p Have.
  bool retriesExhausted(std::uint64_t CurrentVersion) const {
    return NewestVersion > CurrentVersion && Failures >= MaxFailures;
  }
  /// When a question for a version beyond \p Have is due.
  std::optional<steady_time> nextWake(std::uint64_t CurrentVersion) const;

private:
  struct candidate {
    endpoint_text Address;
    std::uint64_t Version = 0;
    bool SameDataCentre = false;
    std::uint32_t Capacity = 0;
  };

  std::string DataCentre;
  std::mt19937_64 Random;
  std::vector<candidate> Candidates;
  std::uint64_t NewestVersion = 0;
  std::size_t Failures = 0;
  steady_time Due;
  /// The peer that is being asked.
  std::optional<endpoint_text> RequestedPeer;
};

} // namespace endiverail
