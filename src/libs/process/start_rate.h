#pragma once

#include "base/time.h"

#include <cmath>

namespace endiverail {

/// The pace at which requests start, fading with time: about the number of the
/// last second.
class start_rate {
public:
  void record(steady_time Now) {
    AtLastStart = perSecond(Now) + 1;
    LastStart = Now;
  }

  /// Requests a second by now.
  double perSecond(steady_time Now) const {
    double Elapsed = std::chrono::duration<double>(Now - LastStart).count();
    return AtLastStart * std::exp(-Elapsed);
  }

  /// Requests a second when the last one started.
  double atLastStart() const { return AtLastStart; }

private:
  double AtLastStart = 0;
  steady_time LastStart;
};

} // namespace endiverail
