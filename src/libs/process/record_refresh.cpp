#include "process/record_refresh.h"

#include <algorithm>

namespace endiverail {
namespace {

/// Share of the retention after which a record is appended again, how much
/// later each further daemon would do it, and how many wait so.
constexpr double RefreshAfter = 0.5;
constexpr double RefreshStep = 0.05;
constexpr std::size_t MostSteps = 8;

} // namespace

void record_refresh::noteClock(const log_page &Page, steady_time Now) {
  Clock = Page.NowMilliseconds;
  Retention = Page.RetentionMilliseconds;
  ClockSeen = Now;
}

std::int64_t record_refresh::logTime(steady_time Now) const {
  return Clock +
         std::chrono::duration_cast<milliseconds>(Now - ClockSeen).count();
}

bool record_refresh::isDue(std::string_view Service, std::size_t Order,
                           steady_time Now) const {
  auto Copy = LatestCopy.find(Service);
  // One that came from a peer alone is not on the log any more.
  std::int64_t Age =
      Copy == LatestCopy.end() ? Retention : logTime(Now) - Copy->second;
  double Due = RefreshAfter +
               RefreshStep * static_cast<double>(std::min(Order, MostSteps));
  return static_cast<double>(Age) >= Due * static_cast<double>(Retention);
}

} // namespace endiverail
