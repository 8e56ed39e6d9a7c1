#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace endiverail {

/// Health signal that an attempt gives of its backend server.
enum class attempt_signal {
  /// A complete answer within the usual time.
  Good,
  /// The server has started to work on the request: it did not fail it
  /// immediately.
  Accepted,
  /// No answer within the time in which the pool nearly always answers.
  Slow,
  /// An error, a truncated answer, a timeout or no connection.
  Failed,
  /// No connection: the server or the network path to it is down.
  Unreachable,
  /// An error after the usual working time; healthy servers return some, too.
  ErrorAfterWork,
  /// Rejected for lack of capacity, which is no sign of the server's health.
  Shed,
};

/// Whether the signal comes soon after a request has reached the server. The
/// end of a long request doesn't show that the server gets new ones.
constexpr bool showsArrival(attempt_signal Signal) {
  return Signal == attempt_signal::Accepted ||
         Signal == attempt_signal::Failed || Signal == attempt_signal::Shed;
}

/// Exponentially decaying counts of all signals and of bad ones.
class failure_rate {
public:
  explicit failure_rate(milliseconds HalfLife) : HalfLife(HalfLife) {}

  void observe(bool Bad, steady_time Now);
  /// Decayed number of all observations.
  double total(steady_time Now) const;
  double bad(steady_time Now) const;

private:
  double decay(steady_time Now) const;
  milliseconds HalfLife;
  double Total = 0;
  double Bad = 0;
  steady_time Last;
};

/// Detects backend servers that fail more often than the rest of their pool. It
/// runs two one-sided CUSUM tests on the signals of regular requests, one for
/// nearly complete and one for partial failure.
class outlier_detector {
public:
  /// Records one signal. \p Baseline is the share of bad signals in the rest of
  /// the pool.
  void observe(attempt_signal Signal, double Baseline, steady_time Now);

  /// The test statistic relative to the ejection threshold: 0 for no evidence
  /// of failure, 1 and more for enough to eject.
  double suspicion() const;

  /// Enough evidence to prefer any other backend server and to send only single
  /// trial requests.
  bool suspected() const { return suspicion() >= SuspicionThreshold; }

  /// Enough evidence to eject.
  bool shouldEject() const { return suspicion() >= 1; }

  /// Long-term rate of bad signals, over about half a minute.
  const failure_rate &rate() const { return Rate; }
  /// Short-term rate of bad signals, over the last seconds; shows immediately
  /// that a whole pool fails.
  const failure_rate &recentRate() const { return RecentRate; }

  /// Resets the test statistics, as after the end of an ejection.
  void clear();

private:
  static constexpr double SuspicionThreshold = 0.1;
  /// Logarithm of the mean number of signals between two false alarms.
  static constexpr double EjectionThreshold = 21;
  /// Maximum increase of a test statistic per period, so that a single pause of
  /// a backend server, which affects all of its requests at once, doesn't get
  /// it ejected.
  static constexpr double MaxIncrementPerPeriod = 8;
  static constexpr milliseconds Period{200};
  /// Share of bad signals in the rest of the pool above which the failures are
  /// not attributed to single servers.
  static constexpr double PoolWideFailureShare = 0.5;
  /// Failure shares above the baseline under the two alternative hypotheses.
  static constexpr std::array<double, 2> AlternativeShares{0.9, 0.25};

  std::array<double, 2> Sums{};
  std::array<double, 2> PeriodIncrements{};
  steady_time PeriodStart;
  failure_rate Rate{milliseconds(10'000)};
  failure_rate RecentRate{milliseconds(300)};
};

} // namespace endiverail
