#pragma once

#include "connection/backend_attempt.h"
#include "request/caller_request.h"

#include <map>
#include <optional>

namespace endiverail {

enum class timer_kind {
  /// The request's deadline or, for a queued one, its maximum queue time.
  Deadline,
  /// An attempt that has not failed by now is assumed to be accepted.
  AssumeAccepted,
  /// The attempt takes longer than nearly all attempts in the pool.
  Slow,
  /// The attempt has no response yet and is given up in time for another one.
  HeadTimeout,
  /// The lookup of the holder of the request's key is repeated.
  HolderRetry,
  /// Work reports to other proxies are due; not tied to a request.
  WorkReport,
};

struct request_timer {
  request_id Request = 0;
  attempt_id Attempt = 0;
  timer_kind Kind = timer_kind::Deadline;
};

/// Timers of a traffic thread. The timers of a finished request are not
/// removed; they are ignored when they expire.
class request_timers {
public:
  void add(steady_time Due, const request_timer &Timer) {
    Timers.emplace(Due, Timer);
  }

  /// Removes and returns the next expired timer, if any.
  std::optional<request_timer> takeDue(steady_time Now) {
    if (Timers.empty() || Timers.begin()->first > Now)
      return std::nullopt;
    return Timers.extract(Timers.begin()).mapped();
  }

  std::optional<steady_time> nextDue() const {
    return Timers.empty() ? std::nullopt : std::optional(Timers.begin()->first);
  }

private:
  std::multimap<steady_time, request_timer> Timers;
};

} // namespace endiverail
