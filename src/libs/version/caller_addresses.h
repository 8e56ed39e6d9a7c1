#pragma once

#include "version/fleet_version.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Callers use at most this many addresses from one response.
inline constexpr std::size_t MaxCallerAddresses = 64;
/// With fewer addresses, a caller has no alternative when one of them fails.
inline constexpr std::size_t MinCallerAddresses = 2;

/// Returns the addresses that a caller in \p DataCentre should use: the entry
/// daemons of its data centre or, if these are fewer than
/// MinCallerAddresses, those of all data centres. \p Nonce seeds the sampling
/// by host capacity and the selection when there are more than
/// MaxCallerAddresses.
std::vector<std::string> callerAddresses(const fleet_version &Version,
                                         std::string_view DataCentre,
                                         std::uint64_t Nonce);

} // namespace endiverail
