#pragma once

#include "base/time.h"

namespace endiverail {

/// How backend servers fail: spells of seconds in which most requests fail at
/// once, and single errors between them. The figures are from the structured
/// lines of a calm day of the users (docs/MEASUREMENTS.md).
struct health_model {
  /// Share of requests that a healthy server fails without having worked on
  /// them, and a sick one.
  double HealthyFailureRate = 0.002;
  double UnhealthyFailureRate = 0.75;
  /// Mean length of a healthy time and of a spell.
  milliseconds MeanHealthyTime{21'000};
  milliseconds MeanUnhealthyTime{9'000};
};

/// A sick server fails a request within that time of its turn; one that has not
/// failed by then is worked on.
inline constexpr milliseconds FastFailureWindow{50};

/// Servers that refuse part of their work though they have room.
inline constexpr health_model SheddingModel{0.02, 0.5, milliseconds(20'000),
                                            milliseconds(3'000)};

/// Servers that hang or take a multiple of the usual time: what they accept
/// tells nothing, what they answer in the usual time does.
inline constexpr health_model SlownessModel{0.03, 0.7, milliseconds(30'000),
                                            milliseconds(6'000)};

/// Paths to servers that are down or cut off. A connection that is refused or
/// lost is rare otherwise.
inline constexpr health_model PathModel{0.005, 0.8, milliseconds(60'000),
                                        milliseconds(6'000)};

/// The chance of being sick that a server has which joins a known pool.
inline constexpr double InitialUnhealthyProbability = 0.05;

/// The probability that a backend server is in a spell of failures: the filter
/// of a Markov chain with two states, fed by all answers that the fleet has
/// seen. Without answers it returns to the long-term share of sick time.
class health_estimator {
public:
  health_estimator() = default;
  explicit health_estimator(health_model Model) : Model(Model) {}

  /// A server of which nothing is known.
  static health_estimator unknown() {
    health_estimator Health;
    Health.Probability = Health.stationaryProbability();
    return Health;
  }

  /// A request was accepted, or failed at once.
  void observe(bool Failed, steady_time Now);
  /// An answer was good: the server accepted it a while ago.
  void observeSuccess(steady_time Now);
  /// An error came after the usual work: tells little.
  void observeErrorAfterWork(steady_time Now);

  /// 0 for surely healthy, 1 for surely sick.
  double unhealthyProbability(steady_time Now) const;

  /// The share of sick time that the terms lead to.
  double stationaryProbability() const;

private:
  void update(double LikelihoodRatio, steady_time Now);

  health_model Model;
  double Probability = InitialUnhealthyProbability;
  steady_time Updated;
};

} // namespace endiverail
