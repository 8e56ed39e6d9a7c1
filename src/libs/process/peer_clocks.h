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
using steady_stamp = std::int64_t;

inline steady_stamp stampOf(steady_time Time) {
  return std::chrono::floor<milliseconds>(Time.time_since_epoch()).count();
}

/// When peers sent their datagrams, by this process's clock and never too late:
/// a peer can only have answered after it was asked. Neither a slow link nor a
/// thread that is late makes what a peer knows younger than it is.
class peer_clocks {
public:
  /// Between two round trips with a peer.
  static constexpr milliseconds RenewAfter{10'000};
  /// The quickest round trip within that time holds.
  static constexpr milliseconds ReplaceAfter{30'000};
  static constexpr milliseconds AskPause{1'000};

  /// \p Peer has answered at \p Sent, by its clock, what was asked at
  /// \p Asked, by ours.
  void onAnswer(std::string_view Peer, steady_stamp Asked, steady_stamp Sent,
                steady_time Now) {
    peer &Known = Peers[std::string(Peer)];
    steady_stamp Offset = Asked - Sent;
    Known.Renewed = Now;
    if (Known.Offset && Offset < *Known.Offset &&
        Now < Known.Measured + ReplaceAfter)
      return;
    Known.Offset = Offset;
    Known.Measured = Now;
  }

  /// The earliest time at which \p Peer can have sent what it stamped with
  /// \p Sent; nothing before a round trip with it.
  std::optional<steady_time> sentAt(std::string_view Peer, steady_stamp Sent,
                                    steady_time Now) {
    auto Found = Peers.find(Peer);
    if (Found == Peers.end() || !Found->second.Offset)
      return std::nullopt;
    steady_time At{milliseconds(Sent + *Found->second.Offset)};
    // One of the clocks has stood still.
    if (At > Now) {
      Found->second = {};
      return std::nullopt;
    }
    return At;
  }

  /// Whether a round trip with \p Peer is due. Counts as begun then.
  bool takeQuestion(std::string_view Peer, steady_time Now) {
    peer &Known = Peers[std::string(Peer)];
    if ((Known.Offset && Now < Known.Renewed + RenewAfter) ||
        Now < Known.Asked + AskPause)
      return false;
    Known.Asked = Now;
    return true;
  }

private:
  struct peer {
    /// Our clock less the peer's, at least.
    std::optional<steady_stamp> Offset;
    steady_time Measured;
    steady_time Renewed;
    steady_time Asked;
  };

  std::map<std::string, peer, std::less<>> Peers;
};

} // namespace endiverail
