#pragma once

#include "load/load_plan.h"
#include "load/load_report.h"

namespace endiverail {

/// Sends the load of \p Plan, checks each answer, asks the stand-in how often
/// each request ran, and reports. Fails when neither a daemon nor the platform
/// answers at the start.
result<load_report> runLoad(const load_plan &Plan);

} // namespace endiverail
