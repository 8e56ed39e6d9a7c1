#pragma once

#include "base/time.h"
#include "log/event_line.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace endiverail {

/// Measures how long work waits for a thread. Logs a line at most once per
/// period, and none while the thread keeps up.
class thread_lag {
public:
  /// \p Thread names the thread in the line.
  explicit thread_lag(std::string_view Thread) : Thread(Thread) {}

  /// Records that messages are taken of which the first was posted at
  /// \p Posted.
  void recordMessages(steady_time Posted, steady_time Now) {
    Current.Messages = std::max(Current.Messages, between(Posted, Now));
  }
  /// Records that a timer that was due at \p Due is run.
  void recordTimer(steady_time Due, steady_time Now) {
    Current.Timers = std::max(Current.Timers, between(Due, Now));
  }

  /// The longest waits of a period.
  struct period {
    milliseconds Messages{0};
    milliseconds Timers{0};
  };

  /// Returns the measurements of a period that has ended, and logs them if the
  /// thread was late.
  std::optional<period> report(steady_time Now) {
    if (Now < PeriodStart + Period)
      return std::nullopt;
    period Ended = std::exchange(Current, {});
    PeriodStart = Now;
    if (std::max(Ended.Messages, Ended.Timers) > WarningThreshold)
      event_line("thread_late", event_level::Warning)
          .with("thread", Thread)
          .with("messages_ms", Ended.Messages.count())
          .with("timers_ms", Ended.Timers.count());
    return Ended;
  }

private:
  static constexpr milliseconds Period{1'000};
  /// A request passes four threads on its way in and out; with this much at
  /// each, its answer is nearly half a second late.
  static constexpr milliseconds WarningThreshold{100};

  static milliseconds between(steady_time From, steady_time To) {
    return std::chrono::duration_cast<milliseconds>(To - From);
  }

  std::string_view Thread;
  steady_time PeriodStart;
  period Current;
};

} // namespace endiverail
