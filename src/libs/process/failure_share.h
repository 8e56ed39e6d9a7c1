#pragma once

#include "base/time.h"

#include <cmath>

namespace endiverail {

/// The share of a pool's requests that have failed of late, as far as all
/// entries have told. Counts fade with time.
class failure_share {
public:
  void noteAccepted(steady_time Now) { add(Now, 1, 0); }
  void noteFailed(steady_time Now) { add(Now, 1, 1); }
  /// A request that was accepted before has failed.
  void noteErred(steady_time Now) { add(Now, 0, 1); }

  /// Whether more than \p Share have failed, and not just a few.
  bool exceeds(double Share, steady_time Now) const {
    constexpr double Few = 3;
    double Failed = Failures * fading(Now);
    return Failed >= Few && Failed > Share * Requests * fading(Now);
  }

private:
  /// Most of what counts is as old as the span in which the users count.
  static constexpr double FadingSeconds = 1.5;

  double fading(steady_time Now) const {
    double Elapsed = std::chrono::duration<double>(Now - Updated).count();
    return std::exp(-std::max(0.0, Elapsed) / FadingSeconds);
  }

  void add(steady_time Now, double More, double Failed) {
    double Left = fading(Now);
    Requests = Requests * Left + More;
    Failures = Failures * Left + Failed;
    Updated = Now;
  }

  double Requests = 0;
  double Failures = 0;
  steady_time Updated;
};

} // namespace endiverail
