#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace endiverail {

enum class memory_use {
  /// A request that has not come to its end.
  IncompleteRequest,
  /// A request that a backend server may be working on.
  RequestInProgress,
  /// An answer that the caller does not read as fast as it comes.
  UnreadAnswer
};

/// What a caller's connection holds of the process's memory.
struct memory_claim {
  std::uint64_t Connection = 0;
  memory_use Use = memory_use::IncompleteRequest;
  std::size_t Bytes = 0;
  /// When bytes of the request last came or those of the answer last left.
  steady_time LastProgress{};
};

/// The connection that gives way when there is no room for \p Wanted, if any
/// should. First comes whoever has stalled for the longest time; then an
/// incomplete request that is much larger than what is wanted, so that a few
/// large ones do not keep out all others; for an answer, the answer that has
/// waited for its caller for the longest time. What a backend server may be
/// working on never gives way to a request.
std::optional<std::uint64_t>
chooseEviction(std::span<const memory_claim> Claims, const memory_claim &Wanted,
               steady_time Now);

} // namespace endiverail
