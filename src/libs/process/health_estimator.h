#pragma once

#include "base/time.h"

namespace endiverail {

/// Two-state model of how backend servers fail: periods of several seconds in
/// which most requests fail immediately, and single errors in between. The
/// values come from the users' structured log of a day without incidents
/// (docs/MEASUREMENTS.md).
struct health_model {
  /// Share of requests that a healthy and an unhealthy server fail without
  /// having worked on them.
  double HealthyFailureRate = 0.002;
  double UnhealthyFailureRate = 0.75;
  /// Mean duration of a healthy and an unhealthy period.
  milliseconds MeanHealthyTime{21'000};
  milliseconds MeanUnhealthyTime{9'000};
};

/// An unhealthy server fails a request within this time after the request's
/// turn; a request that has not failed by then counts as accepted.
inline constexpr milliseconds FastFailureWindow{50};

/// Servers that shed some of their requests although they have free slots.
inline constexpr health_model SheddingModel{0.02, 0.5, milliseconds(20'000),
                                            milliseconds(3'000)};

/// Servers that hang or take a multiple of the usual time. Accepted requests
/// tell nothing about this, only answers within the usual time do.
inline constexpr health_model SlownessModel{0.03, 0.7, milliseconds(30'000),
                                            milliseconds(6'000)};

/// Network paths to servers that are down or unreachable. Otherwise, refused or
/// lost connections are rare.
inline constexpr health_model PathModel{0.005, 0.8, milliseconds(60'000),
                                        milliseconds(6'000)};

/// Probability that a server that joins a known pool is unhealthy.
inline constexpr double InitialUnhealthyProbability = 0.05;

/// Estimates the probability that a backend server is unhealthy. This is the
/// forward filter of a two-state hidden Markov model, updated with all answers
/// that the fleet has seen. Without answers the estimate decays to the
/// stationary probability of the model.
class health_estimator {
public:
  health_estimator() = default;
  explicit health_estimator(health_model Model) : Model(Model) {}

  /// The estimate for a server of which nothing is known.
  static health_estimator unknown() {
    health_estimator Health;
    Health.Probability = Health.stationaryProbability();
    return Health;
  }

  /// Records that a request was accepted, or failed immediately.
  void observe(bool Failed, steady_time Now);
  /// Records a good answer. It tells less than an accepted request, as the
  /// server accepted this one some time ago.
  void observeSuccess(steady_time Now);
  /// Records an error after the usual working time, which is weak evidence.
  void observeErrorAfterWork(steady_time Now);

  /// 0 for certainly healthy, 1 for certainly unhealthy.
  double unhealthyProbability(steady_time Now) const;

  /// Long-term share of unhealthy time in the model.
  double stationaryProbability() const;

private:
  void update(double LikelihoodRatio, steady_time Now);

  health_model Model;
  double Probability = InitialUnhealthyProbability;
  steady_time Updated;
};

} // namespace endiverail
