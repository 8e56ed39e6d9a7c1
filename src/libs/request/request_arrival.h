#pragma once

#include "base/time.h"

namespace endiverail {

/// When the first bytes of a request reached this host, and how far away its
/// caller is, as far as the kernel tells.
struct request_arrival {
  steady_time At;
  /// Shortest time from this host to the caller and back; 0 if not known.
  microseconds RoundTrip{0};
};

} // namespace endiverail
