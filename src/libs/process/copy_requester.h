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
  /// The latest history of the store that the sender knows of.
  std::optional<std::uint64_t> StoreHistory;
};

/// Decides when to request a copy from a peer, and from which one. The first
/// request is delayed, because all peers learn of a new version at the same
/// time and few have it by then. If a peer is slow to respond, another one is
/// asked as well; the copy that arrives first is used.
class copy_requester {
public:
  /// The daemons spread their requests for a new version over this time. It is
  /// a sixth of the two seconds within which a version has to be in force.
  static constexpr milliseconds RequestJitter{300};
  /// Time between a failed request and the next one.
  static constexpr milliseconds RetryDelay{100};
  /// Time for a peer to begin its response, and for the whole response, after
  /// which another peer is asked.
  static constexpr milliseconds ResponseTime{150};
  static constexpr milliseconds TransferTime{500};
  /// Number of requests for one version that fail or take too long, after which
  /// the store is read as well.
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
  /// The header of a peer's successful response was received.
  void onResponseStarted(std::string_view Peer);
  /// A copy with a newer version was received.
  void onCopy(std::string_view Peer);
  /// The request failed, or the copy had no newer version.
  void onFailure(std::string_view Peer, steady_time Now);

  /// From when on the requests for a version newer than \p CurrentVersion have
  /// failed too often; empty if they have not.
  std::optional<steady_time> exhaustedFrom(std::uint64_t CurrentVersion) const;
  /// Whether they have, since the last call returned true.
  bool takeExhausted(std::uint64_t CurrentVersion, steady_time Now);
  /// When a peer first announced the newest version.
  steady_time announcedAt() const { return AnnouncedAt; }
  std::uint64_t newestVersion() const { return NewestVersion; }
  /// When a request for a version newer than \p CurrentVersion is due, or the
  /// requests for it have failed too often.
  std::optional<steady_time> nextWake(std::uint64_t CurrentVersion) const;

private:
  struct candidate {
    endpoint_text Address;
    std::uint64_t Version = 0;
    bool SameDataCentre = false;
    std::uint32_t Capacity = 0;
    /// A request to this peer has failed in the current round.
    bool Failed = false;
  };
  struct pending_request {
    endpoint_text Peer;
    std::uint64_t Version = 0;
    steady_time Started;
    bool ResponseStarted = false;

    /// From when on the peer counts as slow.
    steady_time slowFrom() const {
      return Started + (ResponseStarted ? TransferTime : ResponseTime);
    }
  };

  void startRound();
  /// Ends the pending request to \p Peer. Returns whether it was for the newest
  /// version.
  bool endRequest(std::string_view Peer);
  std::size_t pendingForNewest() const;
  /// From when on all pending requests for the newest version are slow.
  steady_time allSlowFrom() const;
  std::optional<steady_time> nextRequest(std::uint64_t CurrentVersion) const;
  candidate *selectCandidate();

  std::string DataCentre;
  std::mt19937_64 Random;
  std::vector<candidate> Candidates;
  std::uint64_t NewestVersion = 0;
  steady_time AnnouncedAt;
  std::size_t Failures = 0;
  steady_time Due;
  std::vector<pending_request> Pending;
  bool ExhaustionTaken = false;
};

} // namespace endiverail
