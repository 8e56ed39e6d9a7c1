#pragma once

#include "base/time.h"

#include <cmath>

namespace endiverail {

/// Recent share of failed requests of a pool, as reported by all entries. The
/// counts decay exponentially with time.
class pool_failure_rate {
public:
  void recordAccepted(steady_time Now) { add(Now, 1, 0); }
  void recordFailed(steady_time Now) { add(Now, 1, 1); }
  /// Records the failure of a request that has been counted as accepted.
  void recordErrorAfterWork(steady_time Now) { add(Now, 0, 1); }

  /// Returns whether more than the share \p Share of the requests have failed,
  /// and at least a minimum number of them.
  bool exceeds(double Share, steady_time Now) const {
    constexpr double MinFailures = 3;
    double RecentFailures = Failures * decayFactor(Now);
    return RecentFailures >= MinFailures &&
           RecentFailures > Share * Requests * decayFactor(Now);
  }

  /// Requests per second of the whole pool.
  double requestsPerSecond(steady_time Now) const {
    return Requests * decayFactor(Now) / DecayTimeSeconds;
  }

private:
  /// Chosen so that most of the counted requests are no older than the interval
  /// in which the requirements count failures.
  static constexpr double DecayTimeSeconds = 1.5;

  double decayFactor(steady_time Now) const {
    double Elapsed = std::chrono::duration<double>(Now - Updated).count();
    return std::exp(-std::max(0.0, Elapsed) / DecayTimeSeconds);
  }

  void add(steady_time Now, double NewRequests, double NewFailures) {
    double Decay = decayFactor(Now);
    Requests = Requests * Decay + NewRequests;
    Failures = Failures * Decay + NewFailures;
    Updated = Now;
  }

  double Requests = 0;
  double Failures = 0;
  steady_time Updated;
};

} // namespace endiverail
