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
/// servers and was confirmed itself. Says when peers are to be asked, and when
/// the store is to be read. It knows no clock.
class server_freshness {
public:
  /// With readers that read twice a second, knowledge is older only when
  /// readers or datagrams are missing.
  static constexpr milliseconds AskAfter{550};
  /// From then on the daemon reads for itself. What it reads has to reach the
  /// traffic within the time in which a leaving server gets no more work.
  static constexpr milliseconds ReadAfter{800};
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

  /// From when on the daemon reads the store itself.
  steady_time readFrom() const {
    return ConfirmedAt ? *ConfirmedAt + ReadAfter : steady_time{};
  }

  std::optional<steady_time> nextWake() const {
    if (!ConfirmedAt)
      return std::nullopt;
    return Difference
               ? std::min(questionDue(), Difference->Since + DifferenceTime)
               : questionDue();
  }

private:
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
};

} // namespace endiverail
