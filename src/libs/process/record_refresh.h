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

/// Returns the position of this daemon among those that may refresh the record
/// of a service; 0 goes first.
template <typename T>
concept refresh_order = requires(const T Order, std::string_view Service) {
  { Order(Service) } -> std::convertible_to<std::size_t>;
};

/// Decides when accepted records must be appended again, well before the log's
/// retention removes them. One daemon goes first and others follow if it does
/// not; a duplicate record is harmless.
class record_refresh {
public:
  /// Updates the log's clock and retention from a page that was read.
  void updateClock(const log_page &Page, steady_time Now);

  /// Records a copy of a service's acceptance on the log.
  void recordCopy(const std::string &Service, std::int64_t LogMilliseconds) {
    LatestCopy[Service] = LogMilliseconds;
  }

  /// Returns the records to append now, which are considered appended from then
  /// on.
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
  /// The log's clock at the local time \p Now, in milliseconds.
  std::int64_t logTime(steady_time Now) const;

  std::int64_t LogClock = 0;
  std::int64_t Retention = 0;
  steady_time ClockReadAt;
  /// Time of the append of the latest copy, in milliseconds of the log's clock,
  /// by service.
  std::map<std::string, std::int64_t, std::less<>> LatestCopy;
};

} // namespace endiverail
