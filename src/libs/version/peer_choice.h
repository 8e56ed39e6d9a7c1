#pragma once

#include "version/fleet_version.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Another proxy that owns backend servers of a service and is not among the
/// addresses \p Failed; nullptr when there is none. \p Seed spreads requests.
const service_owner *chooseOwner(const fleet_version &Version,
                                 std::string_view Service,
                                 std::span<const std::string> Failed,
                                 std::uint64_t Seed);

/// Another proxy that reaches a backend server, in another data centre rather
/// than in this one; nullptr when there is none.
const proxy_member *chooseObserver(const fleet_version &Version,
                                   std::string_view Server, std::uint64_t Seed);

} // namespace endiverail
