#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail {

/// Tracks how long ago a read of the store confirmed a daemon's knowledge of
/// the backend servers: its own read, or that of a confirmed member with the
/// same servers. Decides when to query peers, when to read the store, and until
/// when requests may be sent. All times are passed in by the caller.
class server_freshness {
public:
  /// As the readers read twice a second, information gets older than this only
  /// if readers or datagrams are missing.
  static constexpr milliseconds PeerQueryAge{550};
  /// At this age the daemon reads the store itself. The result has to reach the
  /// traffic threads within the time limit for servers that are leaving.
  static constexpr milliseconds StoreReadAge{800};
  /// Requests are sent only if the servers were confirmed within this time. The
  /// rest of the shortest time limit for leaving servers in the users'
  /// deployments is left for the host's link, and for a thread that is
  /// suspended between its last check and the first byte of the request.
  static constexpr milliseconds MaxUsableAge{1'400};
  /// After a read without a response the store is assumed to be unavailable to
  /// all daemons for this long. The time covers the next read and its timeout.
  static constexpr milliseconds AssumedOutage{3'000};
  /// A mismatch that lasts longer is queried; updates in transit arrive within
  /// a few milliseconds.
  static constexpr milliseconds MismatchDelay{50};
  /// Time between two queries; doubles until something confirms the servers.
  static constexpr milliseconds InitialQueryInterval{150};
  static constexpr milliseconds MaxQueryInterval{1'200};

  /// Confirms the known servers as of \p AsOf, by the daemon's own read or by a
  /// member with the same servers.
  void confirm(steady_time AsOf) {
    Mismatch.reset();
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    ConfirmedAt = AsOf;
    QueryInterval = InitialQueryInterval;
  }
  std::optional<steady_time> confirmedAt() const { return ConfirmedAt; }

  /// A read of the store on a new connection got no response, so no member is
  /// expected to be confirmed.
  void onStoreTimeout(steady_time Now) {
    LastStoreTimeout = Now;
    AssumedOutageEnd = Now + AssumedOutage;
  }
  bool storeTimedOutSince(steady_time Time) const {
    return LastStoreTimeout > Time;
  }

  /// Until when requests may be sent to the known servers.
  steady_time usableUntil() const {
    return ConfirmedAt ? std::max(*ConfirmedAt + MaxUsableAge, AssumedOutageEnd)
                       : AssumedOutageEnd;
  }

  /// Records that the control thread woke up late by \p Delay.
  void recordDelay(milliseconds Delay, steady_time Now) {
    if (Now >= DelayWindowStart + DelayWindow) {
      PreviousMaxDelay = std::exchange(MaxDelay, milliseconds(0));
      DelayWindowStart = Now;
    }
    MaxDelay = std::max(MaxDelay, Delay);
  }

  /// Records that a member whose servers were confirmed at \p AsOf has a
  /// different digest. A member that was confirmed earlier than this daemon is
  /// outdated and will send a query itself.
  void onMismatch(std::string_view Member, std::uint64_t Digest,
                  steady_time AsOf, steady_time Now) {
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    steady_time Since = Mismatch ? Mismatch->Since : Now;
    Mismatch = mismatch{std::string(Member), Digest, Since};
  }

  /// The member to query about a mismatch, if a query is due.
  std::optional<std::string> takeMismatch(std::uint64_t OwnDigest,
                                          steady_time Now) {
    if (!Mismatch || Now < Mismatch->Since + MismatchDelay)
      return std::nullopt;
    mismatch Pending = *std::exchange(Mismatch, std::nullopt);
    if (Pending.Digest == OwnDigest)
      return std::nullopt;
    return std::move(Pending.Member);
  }

  /// Whether to query any member because nothing has confirmed the servers for
  /// too long.
  bool takeQuery(steady_time Now) {
    if (!ConfirmedAt || Now < queryDue())
      return false;
    NextQuery = Now + QueryInterval;
    QueryInterval = std::min(2 * QueryInterval, MaxQueryInterval);
    return true;
  }

  /// From when on the daemon reads the store itself. A delayed thread connects
  /// one turn later, and handles the response after another turn.
  steady_time storeReadDue() const {
    milliseconds Margin = 2 * std::max(MaxDelay, PreviousMaxDelay);
    return ConfirmedAt
               ? *ConfirmedAt + std::max(StoreReadAge - Margin, milliseconds(0))
               : steady_time{};
  }

  std::optional<steady_time> nextWake() const {
    if (!ConfirmedAt)
      return std::nullopt;
    return Mismatch ? std::min(queryDue(), Mismatch->Since + MismatchDelay)
                    : queryDue();
  }

private:
  /// Minimum time for which a delay is taken into account.
  static constexpr milliseconds DelayWindow{3'000};

  struct mismatch {
    std::string Member;
    std::uint64_t Digest = 0;
    steady_time Since;
  };

  steady_time queryDue() const {
    return std::max(*ConfirmedAt + PeerQueryAge, NextQuery);
  }

  std::optional<steady_time> ConfirmedAt;
  std::optional<mismatch> Mismatch;
  steady_time NextQuery;
  milliseconds QueryInterval = InitialQueryInterval;
  steady_time LastStoreTimeout;
  steady_time AssumedOutageEnd;
  milliseconds MaxDelay{0};
  milliseconds PreviousMaxDelay{0};
  steady_time DelayWindowStart;
};

} // namespace endiverail
