#pragma once

#include "base/time.h"

#include <cstddef>

namespace endiverail {

/// Limits for requests of callers, set by the configuration in force.
struct request_limits {
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  /// Time from the first byte of a request to the end of its head.
  milliseconds HeadTimeout{0};
  /// Time between two requests on a connection.
  milliseconds IdleTimeout{0};

  bool operator==(const request_limits &) const = default;
};

} // namespace endiverail
