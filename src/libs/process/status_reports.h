#pragma once

#include "base/time.h"
#include "process/traffic_message.h"

#include <cstddef>
#include <map>
#include <ranges>
#include <string>
#include <string_view>

namespace endiverail {

/// The latest reports of the traffic threads about the backend servers that
/// this process assigns requests to.
class status_reports {
public:
  void record(const service_status_report &Report, steady_time Now) {
    Latest.insert_or_assign(Report.Service, timestamped_report{Report, Now});
  }

  /// Removes the reports of services that this process no longer owns backend
  /// servers of.
  void expire(steady_time Now);

  /// Number of backend servers of a service that are still warming up.
  std::size_t warming(std::string_view Service) const;

  struct failing_count {
    std::size_t Failing = 0;
    std::size_t All = 0;
  };
  /// Returns how many of the backend servers fail for this process.
  failing_count failing() const;

  /// The reports, ordered by service name.
  auto all() const {
    return Latest | std::views::values |
           std::views::transform(&timestamped_report::Report);
  }

private:
  struct timestamped_report {
    service_status_report Report;
    steady_time ReceivedAt;
  };

  std::map<std::string, timestamped_report, std::less<>> Latest;
};

} // namespace endiverail
