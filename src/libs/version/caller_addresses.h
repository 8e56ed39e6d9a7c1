#pragma once

#include "version/fleet_version.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Most addresses that a caller of the fleet takes from one answer.
inline constexpr std::size_t MaxCallerAddresses = 64;
/// With fewer, a caller has nowhere to go when they fail it.
inline constexpr std::size_t MinCallerAddresses = 2;

/// The addresses that a caller in \p DataCentre should use: daemons that are
/// offered as entries, those of its own data centre if it has enough of them.
/// \p Nonce picks when there are more than an answer may hold.
std::vector<std::string> callerAddresses(const fleet_version &Version,
                                         std::string_view DataCentre,
                                         std::uint64_t Nonce);

} // namespace endiverail
