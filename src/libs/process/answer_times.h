#pragma once

#include "base/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace endiverail {

/// Time to the first byte of the answer of a kind of work, estimated over time
/// windows.
class answer_times {
public:
  /// Until enough answers have been seen, the estimates derive from \p Target.
  explicit answer_times(milliseconds Target)
      : Usual(Target / 4), SlowThreshold(Target) {}

  void add(microseconds Time, steady_time Now);

  /// Approximate median.
  milliseconds usual() const { return Usual; }

  /// Time within which the pool nearly always answers.
  milliseconds slowThreshold() const { return SlowThreshold; }

private:
  using quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;

  static constexpr std::size_t MinAnswersPerWindow = 50;
  /// From this number of answers on, the median is imprecise but better than
  /// the initial value.
  static constexpr std::size_t MinAnswersForMedian = 8;
  static constexpr std::chrono::seconds Window{10};
  static constexpr int SlowThresholdFactor = 4;
  static constexpr milliseconds MinSlowThreshold{50};

  static quantile makeQuantile(double Probability);

  milliseconds Usual;
  milliseconds SlowThreshold;
  /// Whether a complete window has been seen.
  bool WindowCompleted = false;
  steady_time WindowStart;
  quantile Median = makeQuantile(0.5);
  quantile Percentile95 = makeQuantile(0.95);
};

} // namespace endiverail
