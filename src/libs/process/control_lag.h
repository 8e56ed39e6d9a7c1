#pragma once

#include "base/time.h"
#include "log/event_line.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace endiverail {

/// How far a control thread is behind: a host with little processor time takes
/// what its peers tell it late, and nobody else can see that. Writes a line at
/// most once in a period, and none while the thread keeps up.
class control_lag {
public:
  /// The thread wakes now and was to wake at \p Due.
  void recordWake(steady_time Due, steady_time Now) {
    Current.Late = std::max(
        Current.Late, std::chrono::duration_cast<milliseconds>(Now - Due));
  }
  /// That many datagrams were taken; \p MoreWait when it took no more only
  /// because there were too many.
  void recordDatagrams(std::size_t Count, bool MoreWaiting) {
    Current.Datagrams += Count;
    Current.FullReads += MoreWaiting ? 1 : 0;
  }
  /// A reader's datagram was taken that long after it was sent.
  void recordDatagramAge(milliseconds Age) {
    Current.OldestDatagram = std::max(Current.OldestDatagram, Age);
  }

  /// The worst of a period.
  struct period {
    milliseconds Late{0};
    milliseconds OldestDatagram{0};
    std::size_t Datagrams = 0;
    std::size_t FullReads = 0;
  };

  /// Writes the line of a period that has ended, and returns it.
  std::optional<period> report(steady_time Now) {
    if (Now < PeriodStart + Period)
      return std::nullopt;
    period Ended = std::exchange(Current, {});
    PeriodStart = Now;
    if (Ended.Late > WarningThreshold ||
        Ended.OldestDatagram > WarningThreshold || Ended.FullReads > 0)
      event_line("control_late", event_level::Warning)
          .with("late_ms", Ended.Late.count())
          .with("oldest_datagram_ms", Ended.OldestDatagram.count())
          .with("datagrams", Ended.Datagrams)
          .with("full_reads", Ended.FullReads);
    return Ended;
  }

private:
  static constexpr milliseconds Period{1'000};
  /// A tenth of the time in which a leaving server has to be known.
  static constexpr milliseconds WarningThreshold{200};

  steady_time PeriodStart;
  period Current;
};

} // namespace endiverail
