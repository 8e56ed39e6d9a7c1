#pragma once

#include "connection/backend_attempt.h"

#include <optional>
#include <string_view>

namespace endiverail {

/// What the head of a backend server's answer means.
struct response_classification {
  /// Set when the answer is not passed on.
  std::optional<error_kind> Refused;
  /// The backend server has failed, also when its answer is passed on.
  bool ServerFailed = false;
  /// It says that it leaves.
  bool Leaving = false;
};

/// Judges a head by the contract with backend servers. \p MayRetry says
/// whether another attempt would follow a refusal: without one, the words of
/// a failing backend server are better than none.
response_classification classifyResponse(const backend_response_head &Head,
                                         std::string_view AttemptName,
                                         bool MayRetry);

} // namespace endiverail
