#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail {

/// How long ago a read of the store has confirmed what a daemon knows of the
/// backend servers: by its own read, or by a member that holds the same
/// servers and was confirmed itself. Says when peers are to be asked, when the
/// store is to be read, and until when requests may be sent by what is known.
/// It knows no clock.
class server_freshness {
public:
  /// With readers that read twice a second, knowledge is older only when
  /// readers or datagrams are missing.
  static constexpr milliseconds PeerQueryAge{550};
  /// From then on the daemon reads for itself. What it reads has to reach the
  /// traffic within the time in which a leaving server gets no more work.
  static constexpr milliseconds StoreReadAge{800};
  /// Requests are sent by what was confirmed within that time. What the users'
  /// shortest bound on leaving servers has left is for the host's link, and for
  /// a thread that stands between its last look and the first byte.
  static constexpr milliseconds MaxUsableAge{1'400};
  /// A store that did not answer a read is taken to answer nobody for that
  /// long: the next read comes and goes without an answer in that time.
  static constexpr milliseconds AssumedOutage{3'000};
  /// A difference that lasts for longer is asked for: what is on its way needs
  /// a few milliseconds.
  static constexpr milliseconds MismatchDelay{50};
  /// Between two questions; it doubles as long as nothing confirms.
  static constexpr milliseconds InitialQueryInterval{150};
  static constexpr milliseconds MaxQueryInterval{1'200};

  /// What is known holds at \p AsOf: by an own read, or as a member holds the
  /// same servers.
  void confirm(steady_time AsOf) {
    Mismatch.reset();
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    ConfirmedAt = AsOf;
    QueryInterval = InitialQueryInterval;
  }
  std::optional<steady_time> confirmedAt() const { return ConfirmedAt; }

  /// A read of the store on a connection of its own got no answer, so that
  /// nobody is expected to be confirmed.
  void onStoreTimeout(steady_time Now) {
    LastStoreTimeout = Now;
    AssumedOutageEnd = Now + AssumedOutage;
  }
  bool storeTimedOutSince(steady_time Time) const {
    return LastStoreTimeout > Time;
  }

  /// Until when requests may be sent by what is known.
  steady_time usableUntil() const {
    return ConfirmedAt ? std::max(*ConfirmedAt + MaxUsableAge, AssumedOutageEnd)
                       : AssumedOutageEnd;
  }

  /// The control thread took its turn that late.
  void recordDelay(milliseconds Delay, steady_time Now) {
    if (Now >= DelayWindowStart + DelayWindow) {
      PreviousMaxDelay = std::exchange(MaxDelay, milliseconds(0));
      DelayWindowStart = Now;
    }
    MaxDelay = std::max(MaxDelay, Delay);
  }

  /// A member holds other servers, with that digest, and was confirmed at
  /// \p AsOf. One that was confirmed earlier is behind, and will ask.
  void onMismatch(std::string_view Member, std::uint64_t Digest,
                  steady_time AsOf, steady_time Now) {
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    steady_time Since = Mismatch ? Mismatch->Since : Now;
    Mismatch = mismatch{std::string(Member), Digest, Since};
  }

  /// The member to ask for what differs, if that is due.
  std::optional<std::string> takeMismatch(std::uint64_t OwnDigest,
                                          steady_time Now) {
    if (!Mismatch || Now < Mismatch->Since + MismatchDelay)
      return std::nullopt;
    mismatch Pending = *std::exchange(Mismatch, std::nullopt);
    if (Pending.Digest == OwnDigest)
      return std::nullopt;
    return std::move(Pending.Member);
  }

  /// Whether any member is to be asked, as nothing has confirmed for too long.
  bool takeQuery(steady_time Now) {
    if (!ConfirmedAt || Now < queryDue())
      return false;
    NextQuery = Now + QueryInterval;
    QueryInterval = std::min(2 * QueryInterval, MaxQueryInterval);
    return true;
  }

  /// From when on the daemon reads the store itself. A thread that is late
  /// connects a turn later and takes the answer another turn later.
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
  /// For how long a late turn counts, at least.
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
