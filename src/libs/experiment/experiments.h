#pragma once

#include "experiment/experiment_table.h"

#include <cstdint>
#include <string_view>

namespace endiverail {

/// How long it takes until a failing backend server harms nobody any more and
/// until it is to be ejected, by fault, pool and rate. \p Runs runs a case;
/// only cases whose names contain \p Only.
experiment_table detectionExperiment(std::uint64_t Seed, std::size_t Runs,
                                     std::string_view Only);

/// How many healthy backend servers are ejected by mistake under noise.
/// \p ServerHours is simulated for each case.
experiment_table falseEjectionExperiment(std::uint64_t Seed,
                                         double ServerHours);

/// What each rank gets while one rank floods, against first come first served
/// and strict priority.
experiment_table floodExperiment(std::uint64_t Seed);

/// Memory and processor time of control state at several sizes, up to the
/// target.
experiment_table capacityExperiment();

} // namespace endiverail
