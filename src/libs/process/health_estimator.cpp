#include "process/health_estimator.h"

#include <algorithm>
#include <cmath>

namespace endiverail {
namespace {

/// Bounds of the estimate, so that a few answers are enough to change it.
constexpr double MinProbability = 0.002;
constexpr double MaxProbability = 0.995;
/// Likelihood ratio for a good answer to a request that was known to be
/// accepted.
constexpr double SuccessRatio = 0.6;
/// Likelihood ratio for an error after the usual working time.
constexpr double ErrorAfterWorkRatio = 4;

double seconds(milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double health_estimator::stationaryProbability() const {
  return seconds(Model.MeanUnhealthyTime) /
         (seconds(Model.MeanUnhealthyTime) + seconds(Model.MeanHealthyTime));
}

double health_estimator::unhealthyProbability(steady_time Now) const {
  if (Updated == steady_time{})
    return Probability;
  double Elapsed =
      std::max(0.0, std::chrono::duration<double>(Now - Updated).count());
  double Rate =
      1 / seconds(Model.MeanUnhealthyTime) + 1 / seconds(Model.MeanHealthyTime);
  double Stationary = stationaryProbability();
  return Stationary + (Probability - Stationary) * std::exp(-Rate * Elapsed);
}

void health_estimator::update(double LikelihoodRatio, steady_time Now) {
  double Prior = unhealthyProbability(Now);
  double Odds = Prior / (1 - Prior) * LikelihoodRatio;
  Probability = std::clamp(Odds / (1 + Odds), MinProbability, MaxProbability);
  Updated = Now;
}

void health_estimator::observe(bool Failed, steady_time Now) {
  update(Failed ? Model.UnhealthyFailureRate / Model.HealthyFailureRate
                : (1 - Model.UnhealthyFailureRate) /
                      (1 - Model.HealthyFailureRate),
         Now);
}

void health_estimator::observeSuccess(steady_time Now) {
  update(SuccessRatio, Now);
}

void health_estimator::observeErrorAfterWork(steady_time Now) {
  update(ErrorAfterWorkRatio, Now);
}

} // namespace endiverail
