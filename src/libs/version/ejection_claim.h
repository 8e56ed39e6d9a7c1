#pragma once

#include "version/fleet_view.h"

#include <cstdint>
#include <string>

namespace endiverail {

/// An owner's claim on part of a service's ejection budget. Claims are leases
/// that are recorded in the log.
struct ejection_claim {
  std::string Service;
  endpoint_text Server;
  /// Identifies an incarnation of a proxy, so that a restarted proxy does not
  /// inherit the claims of its predecessor.
  std::string Holder;
  /// Numbers the holder's claims. The latest one that the holder has read back
  /// from the log is in effect.
  std::uint64_t Sequence = 0;
  /// Number of backend servers of the pool that the holder knows to be
  /// unhealthy, not counting those that are claimed.
  std::size_t Unavailable = 0;
  /// False releases the claim before its lease expires.
  bool Held = true;

  // Assigned by the log.
  std::uint64_t Offset = 0;
  std::int64_t LogMilliseconds = 0;
};

} // namespace endiverail
