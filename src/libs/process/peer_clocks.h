#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// Milliseconds of a process's steady clock. Other processes can interpret them
/// only by means of peer_clocks.
using steady_timestamp = std::int64_t;

inline steady_timestamp timestampOf(steady_time Time) {
  return std::chrono::floor<milliseconds>(Time.time_since_epoch()).count();
}

/// Converts the send times of peers' datagrams to the local clock. The result
/// is a lower bound, because a peer can have responded only after the request
/// was sent. A slow link or a delayed thread therefore never makes a peer's
/// information look newer than it is.
class peer_clocks {
public:
  /// Time between two measurements of a peer's clock.
  static constexpr milliseconds RefreshInterval{10'000};
  /// The offset from the fastest round trip within this time is used.
  static constexpr milliseconds OffsetLifetime{30'000};
  static constexpr milliseconds ProbeInterval{1'000};
  /// After a slower round trip the clock is measured again at the next probe:
  /// the time of the round trip adds to the apparent age of all that the peer
  /// sends.
  static constexpr milliseconds MaxRoundTrip{100};

  /// Records that \p Peer responded at \p PeerSentAt, by its own clock, to a
  /// request that was sent at \p LocalSentAt, by the local clock.
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
    Known.RoundTrip = milliseconds(timestampOf(Now) - LocalSentAt);
  }

  /// The earliest local time at which \p Peer can have sent a datagram with the
  /// timestamp \p PeerSentAt. Empty until a round trip has been measured.
  std::optional<steady_time> earliestSendTime(std::string_view Peer,
                                              steady_timestamp PeerSentAt,
                                              steady_time Now) {
    auto Found = Peers.find(Peer);
    if (Found == Peers.end() || !Found->second.Offset)
      return std::nullopt;
    steady_time SendTime{milliseconds(PeerSentAt + *Found->second.Offset)};
    // One of the clocks was suspended.
    if (SendTime > Now) {
      Found->second = {};
      return std::nullopt;
    }
    return SendTime;
  }

  /// Whether a measurement of the clock of \p Peer is due. If so, counts it as
  /// started.
  bool takeProbe(std::string_view Peer, steady_time Now) {
    peer_offset &Known = Peers[std::string(Peer)];
    bool Precise = Known.Offset && Known.RoundTrip <= MaxRoundTrip;
    if ((Precise && Now < Known.RefreshedAt + RefreshInterval) ||
        Now < Known.ProbedAt + ProbeInterval)
      return false;
    Known.ProbedAt = Now;
    return true;
  }

private:
  struct peer_offset {
    /// Lower bound of the local clock minus the peer's clock.
    std::optional<steady_timestamp> Offset;
    steady_time MeasuredAt;
    /// The round trip that the offset was measured by.
    milliseconds RoundTrip{0};
    steady_time RefreshedAt;
    steady_time ProbedAt;
  };

  std::map<std::string, peer_offset, std::less<>> Peers;
};

} // namespace endiverail
