#pragma once

#include "version/fleet_version.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Returns another proxy that owns backend servers of \p Service and whose
/// address is not in \p Failed, or nullptr if there is none. \p Seed spreads
/// requests over the candidates.
const service_owner *chooseOwner(const fleet_version &Version,
                                 std::string_view Service,
                                 std::span<const std::string> Failed,
                                 std::uint64_t Seed);

/// Returns another proxy without a path fault to \p Server, preferably in a
/// different data centre, or nullptr if there is none.
const proxy_member *chooseObserver(const fleet_version &Version,
                                   std::string_view Server, std::uint64_t Seed);

} // namespace endiverail
