#pragma once

#include "base/time.h"
#include "process/control_message.h"
#include "version/configuration_state.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Tells which place this daemon has among those that may refresh a service's
/// record: 0 for the one that goes first.
template <typename T>
concept refresh_order = requires(const T Order, std::string_view Service) {
  { Order(Service) } -> std::convertible_to<std::size_t>;
};

/// Knows when accepted records have to be appended again, well before the log
/// drops them. One daemon is chosen, others step in later; a second copy does
/// no harm.
class record_refresh {
public:
  /// Takes the log's clock and retention from a page that was read.
  void noteClock(const log_page &Page, steady_time Now);

  /// Takes note of a copy of a service's acceptance on the log.
  void noteCopy(const std::string &Service, std::int64_t LogMilliseconds) {
    LatestCopy[Service] = LogMilliseconds;
  }

  /// The records to append now, which count as appended from here on.
  template <refresh_order Order>
  std::vector<acceptance> due(const configuration_state &ConfigurationState,
                              const Order &OrderOf, steady_time Now) {
    std::vector<acceptance> Records;
    if (Retention <= 0)
      return Records;
    for (const auto &[Name, Accepted] : ConfigurationState.inForce()) {
      if (!isDue(Name, OrderOf(Name), Now))
        continue;
      LatestCopy[Name] = logTime(Now);
      Records.push_back(Accepted.Record);
      Records.back().Refresh = true;
    }
    return Records;
  }

private:
  bool isDue(std::string_view Service, std::size_t Order,
             steady_time Now) const;
  /// The log's clock at a moment of this process, in milliseconds.
  std::int64_t logTime(steady_time Now) const;

  std::int64_t Clock = 0;
  std::int64_t Retention = 0;
  steady_time ClockSeen;
  /// When the log took the latest copy, in milliseconds of its clock, by
  /// service.
  std::map<std::string, std::int64_t, std::less<>> LatestCopy;
};

} // namespace endiverail
