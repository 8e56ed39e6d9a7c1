#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// Milliseconds of a process's steady clock; they say nothing to others but by
/// peer_clocks.
using steady_timestamp = std::int64_t;

inline steady_timestamp timestampOf(steady_time Time) {
  return std::chrono::floor<milliseconds>(Time.time_since_epoch()).count();
}

/// When peers sent their datagrams, by this process's clock and never too late:
/// a peer can only have answered after it was asked. Neither a slow link nor a
/// thread that is late makes what a peer knows younger than it is.
class peer_clocks {
public:
  /// Between two round trips with a peer.
  static constexpr milliseconds RefreshInterval{10'000};
  /// The quickest round trip within that time holds.
  static constexpr milliseconds OffsetLifetime{30'000};
  static constexpr milliseconds ProbeInterval{1'000};

  /// \p Peer has answered at \p Sent, by its clock, what was asked at
  /// \p Asked, by ours.
  void onRoundTrip(std::string_view Peer, steady_timestamp LocalSentAt,
                   steady_timestamp PeerSentAt, steady_time Now) {
    peer_offset &Known = Peers[std::string(Peer)];
    steady_timestamp Offset = LocalSentAt - PeerSentAt;
    Known.RefreshedAt = Now;
    if (Known.Offset && Offset < *Known.Offset &&
        Now < Known.MeasuredAt + OffsetLifetime)
      return;
    Known.Offset = Offset;
    Known.MeasuredAt = Now;
  }

  /// The earliest time at which \p Peer can have sent what it stamped with
  /// \p Sent; nothing before a round trip with it.
  std::optional<steady_time> earliestSendTime(std::string_view Peer,
                                              steady_timestamp PeerSentAt,
                                              steady_time Now) {
    auto Found = Peers.find(Peer);
    if (Found == Peers.end() || !Found->second.Offset)
      return std::nullopt;
    steady_time SendTime{milliseconds(PeerSentAt + *Found->second.Offset)};
    // One of the clocks has stood still.
    if (SendTime > Now) {
      Found->second = {};
      return std::nullopt;
    }
    return SendTime;
  }

  /// Whether a round trip with \p Peer is due. Counts as begun then.
  bool takeProbe(std::string_view Peer, steady_time Now) {
    peer_offset &Known = Peers[std::string(Peer)];
    if ((Known.Offset && Now < Known.RefreshedAt + RefreshInterval) ||
        Now < Known.ProbedAt + ProbeInterval)
      return false;
    Known.ProbedAt = Now;
    return true;
  }

private:
  struct peer_offset {
    /// Our clock less the peer's, at least.
    std::optional<steady_timestamp> Offset;
    steady_time MeasuredAt;
    steady_time RefreshedAt;
    steady_time ProbedAt;
  };

  std::map<std::string, peer_offset, std::less<>> Peers;
};

} // namespace endiverail
