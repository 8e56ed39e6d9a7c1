#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace endiverail {

/// What real work has shown of a backend server.
enum class attempt_signal {
  /// A whole answer in the usual time.
  Good,
  /// The server works on the request: it has not failed it at once.
  Accepted,
  /// No answer in the time in which the pool nearly always answers.
  Slow,
  /// An error, a cut answer, a time-out or no connection.
  Failed,
  /// No connection: the server is down, or the path from here is.
  Unreachable,
  /// An error after the usual work: healthy servers give some as well.
  ErrorAfterWork,
  /// Refused for lack of capacity: says nothing of its health.
  Shed,
};

/// Recent share of bad signals, decaying with time.
class failure_rate {
public:
  explicit failure_rate(milliseconds HalfLife) : HalfLife(HalfLife) {}

  void observe(bool Bad, steady_time Now);
  /// Weight of the observations that are still remembered.
  double total(steady_time Now) const;
  double bad(steady_time Now) const;

private:
  double decay(steady_time Now) const;
  milliseconds HalfLife;
  double Total = 0;
  double Bad = 0;
  steady_time Last;
};

/// Sequential test of "this backend server fails more than its pool" over the
/// signals of real work: two one-sided cumulative sums of log likelihood
/// ratios, one for nearly complete and one for partial failure.
class outlier_detector {
public:
  /// Takes one signal. \p Baseline is the share of bad signals that the rest
  /// of the pool shows.
  void observe(attempt_signal Signal, double Baseline, steady_time Now);

  /// 0 for no evidence, 1 and more for enough to eject.
  double suspicion() const;

  /// Enough evidence to prefer any other backend server, and to let single
  /// requests find out more.
  bool suspected() const { return suspicion() >= SuspicionThreshold; }

  /// Enough evidence to eject.
  bool shouldEject() const { return suspicion() >= 1; }

  /// Bad signals of the last half minute or so.
  const failure_rate &rate() const { return Rate; }
  /// Bad signals of the last seconds: shows at once when a whole pool fails.
  const failure_rate &recentRate() const { return RecentRate; }

  /// Forgets the evidence, as after a return.
  void clear();

private:
  static constexpr double SuspicionThreshold = 0.1;
  /// Log of the mean number of signals between two false alarms.
  static constexpr double EjectionThreshold = 21;
  /// One burst counts at most this much, so that a single pause of a backend
  /// server, which hits all its requests at once, ejects nobody.
  static constexpr double MaxIncrementPerPeriod = 8;
  static constexpr milliseconds Period{200};
  /// Share of bad signals in the rest of the pool from which on nobody is
  /// blamed.
  static constexpr double PoolWideFailureShare = 0.5;
  /// Failure shares, above the baseline, of the two alternatives.
  static constexpr std::array<double, 2> AlternativeShares{0.9, 0.25};

  std::array<double, 2> Sums{};
  std::array<double, 2> PeriodIncrements{};
  steady_time PeriodStart;
  failure_rate Rate{milliseconds(10'000)};
  failure_rate RecentRate{milliseconds(300)};
};

} // namespace endiverail
