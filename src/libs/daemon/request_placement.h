#pragma once

#include "connection/caller_connection.h"
#include "request/caller_request.h"
#include "version/fleet_version.h"

#include <string_view>

namespace endiverail {

/// Paths under this prefix belong to the fleet itself.
inline constexpr std::string_view FleetPathPrefix = "/endiverail/";

/// Finds the service and the kind of work that a request is, its deadline and
/// its organisation. Fails with NotReady, UnknownService, UnknownRoute or
/// BadRequest.
result<caller_request> placeRequest(const response_handle &ResponseHandle,
                                    received_request Received,
                                    const fleet_version &Version,
                                    std::string_view FleetSecret,
                                    steady_time Now);

} // namespace endiverail
