#include "process/answer_times.h"

#include <algorithm>

namespace endiverail {

namespace accumulators = boost::accumulators;

answer_times::quantile answer_times::makeQuantile(double Probability) {
  return quantile(accumulators::quantile_probability = Probability);
}

void answer_times::add(microseconds Time, steady_time Now) {
  double Milliseconds = static_cast<double>(Time.count()) / 1000;
  Median(Milliseconds);
  Percentile95(Milliseconds);
  if (!WindowCompleted && accumulators::count(Median) >= MinAnswersForMedian)
    Usual = milliseconds(
        static_cast<std::int64_t>(accumulators::p_square_quantile(Median) + 1));
  if (Now - WindowStart < Window ||
      accumulators::count(Median) < MinAnswersPerWindow)
    return;
  auto Rounded = [](const quantile &Of) {
    return milliseconds(
        static_cast<std::int64_t>(accumulators::p_square_quantile(Of) + 1));
  };
  Usual = Rounded(Median);
  SlowThreshold =
      std::max(MinSlowThreshold, Rounded(Percentile95) * SlowThresholdFactor);
  WindowStart = Now;
  WindowCompleted = true;
  Median = makeQuantile(0.5);
  Percentile95 = makeQuantile(0.95);
}

} // namespace endiverail
