#include "process/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace endiverail {
namespace {

double seconds(steady_time::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double failure_rate::decay(steady_time Now) const {
  return std::exp2(-std::max(0.0, seconds(Now - Last)) / seconds(HalfLife));
}

void failure_rate::observe(bool IsBad, steady_time Now) {
  double Factor = decay(Now);
  Total = Total * Factor + 1;
  Bad = Bad * Factor + (IsBad ? 1 : 0);
  Last = std::max(Last, Now);
}

double failure_rate::total(steady_time Now) const { return Total * decay(Now); }

double failure_rate::bad(steady_time Now) const { return Bad * decay(Now); }

void outlier_detector::observe(attempt_signal Signal, double Baseline,
                               steady_time Now) {
  if (Signal == attempt_signal::Shed)
    return;
  bool Bad = Signal != attempt_signal::Good;
  Rate.observe(Bad, Now);
  RecentRate.observe(Bad, Now);
  if (Now - PeriodStart >= Period) {
    PeriodStart = Now;
    PeriodIncrements.fill(0);
  }
  for (std::size_t Test = 0; Test < AlternativeShares.size(); ++Test) {
    // The alternative hypothesis is always above the baseline of the pool.
    double Alternative = Baseline + (1 - Baseline) * AlternativeShares[Test];
    double Increment = Bad ? std::log(Alternative / Baseline)
                           : std::log((1 - Alternative) / (1 - Baseline));
    // If most of the pool fails, the cause is not a single server.
    if (Bad && Baseline > PoolWideFailureShare)
      Increment = 0;
    Increment =
        std::min(Increment, MaxIncrementPerPeriod - PeriodIncrements[Test]);
    PeriodIncrements[Test] += std::max(0.0, Increment);
    // The cap bounds the time that a server needs to recover after a long
    // failure.
    Sums[Test] =
        std::clamp(Sums[Test] + Increment, 0.0, EjectionThreshold * 1.5);
  }
}

double outlier_detector::suspicion() const {
  return std::ranges::max(Sums) / EjectionThreshold;
}

void outlier_detector::clear() {
  Sums.fill(0);
  PeriodIncrements.fill(0);
}

} // namespace endiverail
