#pragma once

#include "base/time.h"
#include "process/traffic_message.h"

#include <cstddef>
#include <map>
#include <ranges>
#include <string>
#include <string_view>

namespace endiverail {

/// The latest reports of the traffic threads on the backend servers that this
/// process hands out.
class standing_reports {
public:
  void note(const service_status_report &Report, steady_time Now) {
    Latest.insert_or_assign(Report.Service, dated_report{Report, Now});
  }

  /// Drops the reports of services that are owned no longer.
  void expire(steady_time Now);

  /// Backend servers of a service that are still warming up.
  std::size_t warming(std::string_view Service) const;

  struct failing_count {
    std::size_t Failing = 0;
    std::size_t All = 0;
  };
  /// How many of all backend servers fail as seen from here.
  failing_count failing() const;

  /// The reports, by name of service.
  auto all() const {
    return Latest | std::views::values |
           std::views::transform(&dated_report::Report);
  }

private:
  struct dated_report {
    service_status_report Report;
    steady_time At;
  };

  std::map<std::string, dated_report, std::less<>> Latest;
};

} // namespace endiverail
