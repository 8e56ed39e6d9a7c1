#pragma once

#include "connection/caller_connection.h"
#include "request/caller_request.h"
#include "request/request_metadata.h"
#include "version/fleet_version.h"

#include <cstdint>

namespace endiverail {

/// Finds the route, the organisation and the service of a request and its
/// deadline. \p Position picks the part of a split route. Fails with NotReady,
/// UnknownRoute, UnknownAccessKey, NoBackendServer or DeadlineBeforeRun.
result<caller_request> placeByRoute(const response_handle &ResponseHandle,
                                    received_request Received,
                                    const request_metadata &Words,
                                    const fleet_version &Version,
                                    std::uint64_t Position, steady_time Now);

} // namespace endiverail
