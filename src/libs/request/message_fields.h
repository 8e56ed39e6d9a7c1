#pragma once

#include "request/caller_request.h"

#include <span>
#include <string_view>
#include <vector>

namespace endiverail {

/// Whether a field concerns one connection only, so a proxy must not pass it
/// on. \p Connection is the value of the message's Connection field.
bool isHopByHop(std::string_view Name, std::string_view Connection);

/// Whether a field belongs to the fleet's own vocabulary.
bool isFleetField(std::string_view Name);

/// The fields of a request that its backend server should see.
std::vector<header_field> endToEndFields(std::span<const header_field> Fields);

} // namespace endiverail
