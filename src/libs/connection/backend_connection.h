#pragma once

#include "request/caller_request.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Header that carries the identifier of an attempt to a backend server, which
/// echoes it in its response.
inline constexpr std::string_view AttemptHeader = "Endiverail-Attempt";

enum class connection_choice {
  /// A new connection that has not carried any request.
  Fresh,
  /// A pooled connection may be reused.
  Reuse,
  /// A new connection that is closed after the request.
  Single,
};

/// A server may close a pooled connection at any time, after which it is not
/// known whether a request on it has run. Only idempotent requests, which may
/// be retried then, use one.
constexpr connection_choice connectionFor(bool Idempotent) {
  return Idempotent ? connection_choice::Reuse : connection_choice::Fresh;
}

/// Returns whether a response with \p Fields belongs to \p Attempt. A backend
/// server that does not echo the identifier is trusted to respond in order.
inline bool responseMatchesAttempt(std::span<const header_field> Fields,
                                   std::string_view Attempt) {
  std::string_view Echo = findHeader(Fields, AttemptHeader);
  return Echo.empty() || Echo == Attempt;
}

} // namespace endiverail
