#pragma once

#include "version/fleet_view.h"

#include <cstdint>
#include <string>

namespace endiverail {

/// An owner's claim on a part of a service's ejection budget, kept on the log.
struct ejection_claim {
  std::string Service;
  endpoint_text Server;
  /// Names the incarnation of a proxy: a restarted one has no old claims.
  std::string Holder;
  /// Counts the holder's claims; the holder goes by the latest that it has
  /// read back.
  std::uint64_t Sequence = 0;
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
