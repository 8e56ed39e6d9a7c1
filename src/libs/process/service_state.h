#pragma once

#include "process/answer_times.h"
#include "process/outcome_table.h"
#include "process/request_scheduler.h"
#include "process/second_opinions.h"
#include "process/work_report.h"
#include "version/fleet_version.h"

#include <map>
#include <string>
#include <string_view>

namespace endiverail {

/// What a traffic thread keeps of one service beyond single requests.
template <request_scheduler Policy> class service_state {
public:
  service_state(const service_definition &Definition, std::uint64_t Seed)
      : Scheduler(Definition, Seed) {}

  Policy Scheduler;
  /// What other proxies are to be told of the service's work here.
  work_collector Work;
  steady_time NextWorkReport;
  /// What they have told.
  slots_elsewhere Elsewhere;
  second_opinions Opinions;
  /// The version that the scheduler was configured for.
  std::uint64_t VersionNumber = 0;

  answer_times &times(const work_kind &Kind) {
    return Times.try_emplace(Kind.Name, Kind.Target).first->second;
  }

private:
  std::map<std::string, answer_times, std::less<>> Times;
};

} // namespace endiverail
