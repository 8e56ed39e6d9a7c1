#pragma once

#include "process/control_state.h"
#include "process/timeline.h"
#include "version/address_choice.h"

#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// The addresses that callers of a service may use, as JSON. Each comes with
/// the prefix of keys that the proxy behind it will honour.
std::string addressAnswer(std::string_view Service,
                          std::span<const offered_address> Addresses,
                          milliseconds Lifetime, wall_time Issued,
                          std::string_view Nonce, std::string_view FleetSecret);

/// A daemon's state for people and for endiverailctl, as JSON.
std::string statusAnswer(const control_state &State);

/// Events of the time line, as JSON.
std::string timeLineAnswer(std::string_view ProcessId,
                           std::span<const timeline_event> Events);

} // namespace endiverail
