#pragma once

#include "base/time.h"

#include <cmath>

namespace endiverail {

/// Exponentially decaying rate of request starts: about the number of starts in
/// the last second.
class start_rate {
public:
  void record(steady_time Now) {
    AtLastStart = perSecond(Now) + 1;
    LastStart = Now;
  }

  /// Requests per second, decayed to \p Now.
  double perSecond(steady_time Now) const {
    double Elapsed = std::chrono::duration<double>(Now - LastStart).count();
    return AtLastStart * std::exp(-Elapsed);
  }

  /// Requests per second at the time of the last start.
  double atLastStart() const { return AtLastStart; }

private:
  double AtLastStart = 0;
  steady_time LastStart;
};

} // namespace endiverail
