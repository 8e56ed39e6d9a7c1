#pragma once

#include "connection/backend_attempt.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// How the head of a backend server's response is to be treated.
struct response_classification {
  /// Set if the response is not forwarded to the caller.
  std::optional<error_kind> Error;
  /// The response counts as a failure of the backend server, even if it is
  /// forwarded.
  bool ServerFailed = false;
  /// The backend server announces that it is leaving.
  bool Leaving = false;
  /// How long the backend server wants no requests from this process, if it
  /// says so.
  std::optional<milliseconds> Pause{};
  /// What the backend server says instead, if that is no length of time.
  std::string UnreadablePause{};
  /// Identifier that the response bears; empty if there is none.
  std::string Identifier{};
};

/// Whether more than one field is called \p Name, ignoring case.
bool isRepeated(std::span<const header_field> Fields, std::string_view Name);

/// Classifies a response head according to the contract with backend servers.
/// \p MayRetry states whether another attempt would follow a refused response.
/// If not, an error response of the backend server is forwarded, as it tells
/// the caller more than a generic error.
response_classification classifyResponse(const backend_response_head &Head,
                                         std::string_view AttemptName,
                                         bool MayRetry);

} // namespace endiverail
