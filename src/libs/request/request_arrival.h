#pragma once

#include "base/time.h"

#include <algorithm>

namespace endiverail {

/// When the first bytes of a request reached this host, and how far away its
/// caller is, as far as the kernel tells.
struct request_arrival {
  steady_time At;
  /// Shortest time from this host to the caller and back; 0 if not known.
  microseconds RoundTrip{0};
};

/// When the response has to leave, so that it reaches the caller within
/// \p Allowed after the request was sent.
inline steady_time deadlineOf(const request_arrival &Arrival,
                              milliseconds Allowed) {
  // Callers that are too far away for that are served, too.
  auto OnTheWay = std::min<microseconds>(Arrival.RoundTrip, Allowed / 2);
  return Arrival.At + Allowed - OnTheWay;
}

} // namespace endiverail
