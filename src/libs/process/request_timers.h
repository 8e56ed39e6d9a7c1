#pragma once

#include "connection/backend_attempt.h"
#include "request/caller_request.h"

#include <map>
#include <optional>

namespace endiverail {

enum class timer_kind {
  /// The caller waits no longer.
  Deadline,
  /// An attempt that has not failed at once is accepted.
  AssumeAccepted,
  /// An attempt takes longer than the pool nearly always does.
  Slow,
  /// An attempt without an answer leaves just time for another one.
  HeadTimeout,
  /// The holder of the request's key may be known by now.
  HolderRetry,
  /// A trial of an ejected backend server is due; belongs to no request.
  Trial,
  /// Other proxies are to be told of the work here; belongs to no request.
  WorkReport,
};

struct request_timer {
  request_id Request = 0;
  attempt_id Attempt = 0;
  timer_kind Kind = timer_kind::Deadline;
};

/// What a traffic thread waits for. A timer whose request has ended is left to
/// run out.
class request_timers {
public:
  void add(steady_time Due, const request_timer &Timer) {
    Timers.emplace(Due, Timer);
  }

  /// The next timer that is due, if there is one.
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
