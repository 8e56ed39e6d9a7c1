#pragma once

#include "base/time.h"

#include <cstddef>

namespace endiverail {

/// Limits of callers' requests, as the configuration in force sets them.
struct request_limits {
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  /// From a request's first byte to the end of its head.
  milliseconds HeadTimeout{0};
  /// Between requests of a connection.
  milliseconds IdleTimeout{0};

  bool operator==(const request_limits &) const = default;
};

} // namespace endiverail
