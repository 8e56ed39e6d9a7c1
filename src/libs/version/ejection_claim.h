#pragma once

#include "version/fleet_view.h"

#include <cstdint>
#include <string>

namespace endiverail {

/// An owner's claim on a part of a service's ejection budget, kept on the log.
struct ejection_claim {
  std::string Service;
  endpoint_text Server;
  std::string Holder;
  /// Incarnation of the holder: a restarted holder has no old claims.
  std::uint64_t Incarnation = 0;
  /// Backend servers of the pool that the holder knows to be no healthy
  /// capacity, beside those that are claimed.
  std::size_t Unavailable = 0;
  /// False gives the claim back before its lease ends.
  bool Held = true;

  // Set by the log.
  std::uint64_t Offset = 0;
  std::int64_t LogMilliseconds = 0;
};

} // namespace endiverail
