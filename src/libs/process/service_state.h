#pragma once

#include "process/answer_times.h"
#include "process/outcome_table.h"
#include "process/second_opinions.h"
#include "process/service_scheduler.h"
#include "version/fleet_version.h"

#include <map>
#include <string>
#include <string_view>

namespace endiverail {

/// What a traffic thread keeps of one service beyond single requests.
class service_state {
public:
  service_state(const service_definition &Definition, std::uint64_t Seed)
      : Scheduler(Definition, Seed) {}

  service_scheduler Scheduler;
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
