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

/// What a daemon that uses a store sends to another one on request: the newest
/// configuration as the store holds it, and the backend servers.
struct fleet_copy {
  std::uint64_t Version = 0;
  /// The record's value. The receiver decodes it.
  std::string Configuration;
  std::vector<server_statement> Servers;
};

/// Decides when to request a copy from a peer, and from which one. Only one
/// request is pending at a time. The first one is delayed, because all peers
/// learn of a new version at the same time and few have it by then.
class copy_requester {
public:
  /// The daemons spread their requests for a new version over this time. It is
  /// a sixth of the two seconds within which a version has to be in force.
  static constexpr milliseconds RequestJitter{300};
  /// Time between a failed request and the next one.
  static constexpr milliseconds RetryDelay{100};
  /// Failed requests for one version after which the store is read instead.
  static constexpr std::size_t MaxFailures = 3;
  /// After this time peers that announce the version are tried again, because
  /// the store may be unavailable.
  static constexpr milliseconds RetryRoundDelay{1'000};

  copy_requester(std::string_view DataCentre, std::uint64_t Seed)
      : DataCentre(DataCentre), Random(Seed) {}

  /// A peer has announced its version.
  void onPeerVersion(const proxy_member &Peer, std::uint64_t Version,
                     steady_time Now);

  /// The peer to request a version newer than \p CurrentVersion from, if a
  /// request is due. Its end has to be reported by onCopy() or onFailure().
  std::optional<endpoint_text> nextPeer(std::uint64_t CurrentVersion,
                                        steady_time Now);
  /// A copy with a newer version was received.
  void onCopy();
  /// The request failed, or the copy had no newer version.
  void onFailure(steady_time Now);

  /// Whether the requests for a version newer than \p CurrentVersion failed too
  /// often.
  bool retriesExhausted(std::uint64_t CurrentVersion) const {
    return NewestVersion > CurrentVersion && Failures >= MaxFailures;
  }
  /// When a peer first announced the newest version.
  steady_time announcedAt() const { return AnnouncedAt; }
  std::uint64_t newestVersion() const { return NewestVersion; }
  /// When a request for a version newer than \p CurrentVersion is due.
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
  steady_time AnnouncedAt;
  std::size_t Failures = 0;
  steady_time Due;
  /// The peer of the pending request.
  std::optional<endpoint_text> RequestedPeer;
};

} // namespace endiverail
