#pragma once

#include "base/time.h"

#include <concepts>

namespace endiverail {

/// Where a thread takes the time from.
template <typename T>
concept time_source = requires(T Source) {
  { Source.now() } -> std::same_as<steady_time>;
};

/// The machine's steady clock.
struct machine_time {
  static steady_time now() { return steadyNow(); }
};

} // namespace endiverail
