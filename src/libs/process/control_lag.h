#pragma once

#include "base/time.h"
#include "log/event_line.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace endiverail {

/// Measures how far a control thread is behind. On a host with little processor
/// time, messages from peers are handled late, which no other process can
/// observe. Logs a line at most once per period, and none while the thread
/// keeps up.
class control_lag {
public:
  /// Records that the thread woke at \p Now although it was due at \p Due.
  void recordWake(steady_time Due, steady_time Now) {
    Current.Late = std::max(
        Current.Late, std::chrono::duration_cast<milliseconds>(Now - Due));
  }
  /// Records a read of \p Count datagrams. \p MoreWaiting is true if the read
  /// stopped at its limit.
  void recordDatagrams(std::size_t Count, bool MoreWaiting) {
    Current.Datagrams += Count;
    Current.FullReads += MoreWaiting ? 1 : 0;
  }
  /// Records that a datagram of a store reader was handled \p Age after it was
  /// sent.
  void recordDatagramAge(milliseconds Age) {
    Current.OldestDatagram = std::max(Current.OldestDatagram, Age);
  }

  /// The maxima and totals of a period.
  struct period {
    milliseconds Late{0};
    milliseconds OldestDatagram{0};
    std::size_t Datagrams = 0;
    std::size_t FullReads = 0;
  };

  /// Returns the measurements of a period that has ended, and logs them if the
  /// thread was behind.
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
  /// A tenth of the time within which all proxies must know about a leaving
  /// backend server.
  static constexpr milliseconds WarningThreshold{200};

  steady_time PeriodStart;
  period Current;
};

} // namespace endiverail
