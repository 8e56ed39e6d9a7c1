#include "process/record_refresh.h"

#include <algorithm>

namespace endiverail {
namespace {

/// Fraction of the retention after which a record is appended again, the
/// additional fraction for each further daemon, and the maximum number of these
/// steps.
constexpr double RefreshFraction = 0.5;
constexpr double StepFraction = 0.05;
constexpr std::size_t MaxSteps = 8;

} // namespace

void record_refresh::updateClock(const log_page &Page, steady_time Now) {
  LogClock = Page.NowMilliseconds;
  Retention = Page.RetentionMilliseconds;
  ClockReadAt = Now;
}

std::int64_t record_refresh::logTime(steady_time Now) const {
  return LogClock +
         std::chrono::duration_cast<milliseconds>(Now - ClockReadAt).count();
}

bool record_refresh::isDue(std::string_view Service, std::size_t Order,
                           steady_time Now) const {
  auto Copy = LatestCopy.find(Service);
  // A record received only from a peer is no longer on the log.
  std::int64_t Age =
      Copy == LatestCopy.end() ? Retention : logTime(Now) - Copy->second;
  double Due = RefreshFraction +
               StepFraction * static_cast<double>(std::min(Order, MaxSteps));
  return static_cast<double>(Age) >= Due * static_cast<double>(Retention);
}

} // namespace endiverail
