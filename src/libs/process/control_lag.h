#pragma once

#include "base/time.h"
#include "log/event_line.h"

#include <algorithm>
#include <cstddef>

namespace endiverail {

/// How far a control thread is behind: a host with little processor time takes
/// what its peers tell it late, and nobody else can see that. Writes a line at
/// most once in a period, and none while the thread keeps up.
class control_lag {
public:
  /// The thread wakes now and was to wake at \p Due.
  void noteWake(steady_time Due, steady_time Now) {
    Late = std::max(Late, std::chrono::duration_cast<milliseconds>(Now - Due));
  }
  /// That many datagrams were taken; \p MoreWait when it took no more only
  /// because there were too many.
  void noteDatagrams(std::size_t Count, bool MoreWait) {
    Datagrams += Count;
    FullReads += MoreWait ? 1 : 0;
  }
  /// A reader's datagram was taken that long after it was sent.
  void noteAge(milliseconds Age) { Oldest = std::max(Oldest, Age); }

  /// Writes the line of a period that has ended.
  void report(steady_time Now) {
    if (Now < PeriodStart + Period)
      return;
    if (Late > Tolerated || Oldest > Tolerated || FullReads > 0)
      event_line("control_late", event_level::Warning)
          .with("late_ms", Late.count())
          .with("oldest_datagram_ms", Oldest.count())
          .with("datagrams", Datagrams)
          .with("full_reads", FullReads);
    *this = {};
    PeriodStart = Now;
  }

private:
  static constexpr milliseconds Period{1'000};
  /// A tenth of the time in which a leaving server has to be known.
  static constexpr milliseconds Tolerated{200};

  steady_time PeriodStart;
  milliseconds Late{0};
  milliseconds Oldest{0};
  std::size_t Datagrams = 0;
  std::size_t FullReads = 0;
};

} // namespace endiverail
