#pragma once

#include "base/time.h"

#include <cmath>

namespace endiverail {

/// The share of a pool's requests that have failed of late, as far as all
/// entries have told. Counts fade with time.
class pool_failure_rate {
public:
  void recordAccepted(steady_time Now) { add(Now, 1, 0); }
  void recordFailed(steady_time Now) { add(Now, 1, 1); }
  /// A request that was accepted before has failed.
  void recordErrorAfterWork(steady_time Now) { add(Now, 0, 1); }

  /// Whether more than \p Share have failed, and not just a few.
  bool exceeds(double Share, steady_time Now) const {
    constexpr double MinFailures = 3;
    double RecentFailures = Failures * decayFactor(Now);
    return RecentFailures >= MinFailures &&
           RecentFailures > Share * Requests * decayFactor(Now);
  }

private:
  /// Most of what counts is as old as the span in which the users count.
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
