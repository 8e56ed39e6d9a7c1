#pragma once

#include "request/caller_request.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Header that carries an attempt's identity to a backend server, which sends
/// it back with its answer.
inline constexpr std::string_view AttemptHeader = "Endiverail-Attempt";

enum class connection_choice {
  /// A connection of its own that carried nothing before.
  Fresh,
  /// A pooled connection may be used again.
  Reuse,
};

/// A client library sends a request a second time by itself when a pooled
/// connection turns out closed, so only an idempotent request may use one.
constexpr connection_choice connectionFor(bool Idempotent) {
  return Idempotent ? connection_choice::Reuse : connection_choice::Fresh;
}

/// Whether an answer with these fields belongs to \p Attempt. A backend server
/// that does not echo the identity is trusted to answer in order.
inline bool responseMatchesAttempt(std::span<const header_field> Fields,
                                   std::string_view Attempt) {
  std::string_view Echo = findHeader(Fields, AttemptHeader);
  return Echo.empty() || Echo == Attempt;
}

} // namespace endiverail
