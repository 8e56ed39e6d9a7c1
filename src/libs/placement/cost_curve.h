#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <memory>

namespace endiverail {

/// Geometric intervals of time, from a millisecond to several minutes.
struct cost_scale {
  static constexpr std::size_t Intervals = 32;
  static constexpr double Ratio = 1.5;

  static std::size_t indexOf(double Milliseconds);
  /// Middle of the interval, in milliseconds.
  static double timeOf(std::size_t Index);
};

/// Distribution of the time that a server works on requests of one route, in
/// milliseconds.
struct cost_curve {
  double Mean = 0;
  double MeanSquare = 0;
  double Percentile95 = 0;
  /// Expected time left of a request that has run for so long.
  std::array<double, cost_scale::Intervals> Remaining{};
};

/// What a request is expected to cost: the curve of its route, stretched by
/// what is known of the request itself.
struct cost_estimate {
  std::shared_ptr<const cost_curve> Curve;
  double Stretch = 1;

  bool known() const { return Curve != nullptr; }
  /// In milliseconds; the estimate must be known.
  double mean() const { return Curve->Mean * Stretch; }
  double meanSquare() const { return Curve->MeanSquare * Stretch * Stretch; }
  double percentile95() const { return Curve->Percentile95 * Stretch; }
  double remainingAfter(steady_time::duration Elapsed) const;
};

} // namespace endiverail
