#pragma once

#include "base/time.h"
#include "version/rank.h"

#include <atomic>
#include <cstdint>

namespace endiverail {

/// Decides whether a host that can't keep up refuses a new request, by how long
/// it would wait for the thread that processes requests. The least urgent are
/// refused first. Thread-safe; only one thread takes requests up.
class overload_controller {
public:
  /// Whether a request of \p Rank that comes now is refused.
  bool refuses(rank Rank) const {
    return Waiting.load() * TimePerRequest.load() > MaxWait[rankIndex(Rank)];
  }

  /// A request is admitted and waits.
  void recordAdmitted() { ++Waiting; }

  /// The thread takes up the request that has waited for longest.
  void recordTakenUp(steady_time Now) {
    if (Busy) {
      auto Time = Now - TakenUpAt;
      auto Before = TimePerRequest.load();
      if (Before == steady_time::duration::zero())
        Before = Time;
      TimePerRequest.store(Before + (Time - Before) / SmoothingDivisor);
    }
    TakenUpAt = Now;
    Busy = --Waiting > 0;
  }

private:
  /// A fifth of the half second by which a response may be late, and more for
  /// what is more urgent.
  static constexpr per_rank<milliseconds> MaxWait{
      milliseconds(300), milliseconds(200), milliseconds(100)};
  /// Weight of a request in the average.
  static constexpr int SmoothingDivisor = 8;

  std::atomic<std::int64_t> Waiting = 0;
  /// Average time from one request to the next while requests wait.
  std::atomic<steady_time::duration> TimePerRequest =
      steady_time::duration::zero();
  /// Whether another request was waiting when the last one was taken up.
  bool Busy = false;
  steady_time TakenUpAt;
};

} // namespace endiverail
