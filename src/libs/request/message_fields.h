#pragma once

#include "request/caller_request.h"

#include <span>
#include <string_view>
#include <vector>

namespace endiverail {

/// Returns whether a field is hop-by-hop, so that a proxy must not forward it:
/// by its name, or because a Connection field among the message's \p Fields
/// names it.
bool isHopByHop(std::string_view Name, std::span<const header_field> Fields);

/// Returns whether a field is reserved for the fleet by its name prefix.
bool isFleetField(std::string_view Name);

/// Returns the fields of a request that are forwarded to the backend server.
std::vector<header_field> endToEndFields(std::span<const header_field> Fields);

} // namespace endiverail
