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
  static constexpr milliseconds AskAfter{550};
  /// From then on the daemon reads for itself. What it reads has to reach the
  /// traffic within the time in which a leaving server gets no more work.
  static constexpr milliseconds ReadAfter{800};
  /// Requests are sent by what was confirmed within that time. What the users'
  /// shortest bound on leaving servers has left is for the host's link, and for
  /// a thread that stands between its last look and the first byte.
  static constexpr milliseconds UseFor{1'400};
  /// A store that did not answer a read is taken to answer nobody for that
  /// long: the next read comes and goes without an answer in that time.
  static constexpr milliseconds UnconfirmableFor{3'000};
  /// A difference that lasts for longer is asked for: what is on its way needs
  /// a few milliseconds.
  static constexpr milliseconds DifferenceTime{50};
  /// Between two questions; it doubles as long as nothing confirms.
  static constexpr milliseconds FirstPause{150};
  static constexpr milliseconds LongestPause{1'200};

  /// What is known holds at \p AsOf: by an own read, or as a member holds the
  /// same servers.
  void confirm(steady_time AsOf) {
    Difference.reset();
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    ConfirmedAt = AsOf;
    Pause = FirstPause;
  }
  std::optional<steady_time> confirmedAt() const { return ConfirmedAt; }

  /// A read of the store on a connection of its own got no answer, so that
  /// nobody is expected to be confirmed.
  void onStoreSilent(steady_time Now) {
    LastSilence = Now;
    UnconfirmableUntil = Now + UnconfirmableFor;
  }
  bool storeSilentSince(steady_time Time) const { return LastSilence > Time; }

  /// Until when requests may be sent by what is known.
  steady_time usableUntil() const {
    return ConfirmedAt ? std::max(*ConfirmedAt + UseFor, UnconfirmableUntil)
                       : UnconfirmableUntil;
  }

  /// The control thread took its turn that late.
  void noteLate(milliseconds By, steady_time Now) {
    if (Now >= LateSince + LatePeriod) {
      EarlierLate = std::exchange(Late, milliseconds(0));
      LateSince = Now;
    }
    Late = std::max(Late, By);
  }

  /// A member holds other servers, with that digest, and was confirmed at
  /// \p AsOf. One that was confirmed earlier is behind, and will ask.
  void onDifference(std::string_view Member, std::uint64_t Digest,
                    steady_time AsOf, steady_time Now) {
    if (ConfirmedAt && AsOf <= *ConfirmedAt)
      return;
    steady_time Since = Difference ? Difference->Since : Now;
    Difference = difference{std::string(Member), Digest, Since};
  }

  /// The member to ask for what differs, if that is due.
  std::optional<std::string> takeDifference(std::uint64_t OwnDigest,
                                            steady_time Now) {
    if (!Difference || Now < Difference->Since + DifferenceTime)
      return std::nullopt;
    difference Due = *std::exchange(Difference, std::nullopt);
    if (Due.Digest == OwnDigest)
      return std::nullopt;
    return std::move(Due.Member);
  }

  /// Whether any member is to be asked, as nothing has confirmed for too long.
  bool takeQuestion(steady_time Now) {
    if (!ConfirmedAt || Now < questionDue())
      return false;
    NextQuestion = Now + Pause;
    Pause = std::min(2 * Pause, LongestPause);
    return true;
  }

  /// From when on the daemon reads the store itself. A thread that is late
  /// connects a turn later and takes the answer another turn later.
  steady_time readFrom() const {
    milliseconds Ahead = 2 * std::max(Late, EarlierLate);
    return ConfirmedAt
               ? *ConfirmedAt + std::max(ReadAfter - Ahead, milliseconds(0))
               : steady_time{};
  }

  std::optional<steady_time> nextWake() const {
    if (!ConfirmedAt)
      return std::nullopt;
    return Difference
               ? std::min(questionDue(), Difference->Since + DifferenceTime)
               : questionDue();
  }

private:
  /// For how long a late turn counts, at least.
  static constexpr milliseconds LatePeriod{3'000};

  struct difference {
    std::string Member;
    std::uint64_t Digest = 0;
    steady_time Since;
  };

  steady_time questionDue() const {
    return std::max(*ConfirmedAt + AskAfter, NextQuestion);
  }

  std::optional<steady_time> ConfirmedAt;
  std::optional<difference> Difference;
  steady_time NextQuestion;
  milliseconds Pause = FirstPause;
  steady_time LastSilence;
  steady_time UnconfirmableUntil;
  milliseconds Late{0};
  milliseconds EarlierLate{0};
  steady_time LateSince;
};

} // namespace endiverail
