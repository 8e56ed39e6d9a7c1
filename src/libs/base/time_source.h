#pragma once

#include "base/time.h"

#include <concepts>

namespace endiverail {

/// Where a thread takes the time from; neither clock ever steps back.
template <typename T>
concept time_source = requires(T Source) {
  { Source.now() } -> std::same_as<steady_time>;
  { Source.wall() } -> std::same_as<wall_time>;
};

/// The machine's steady clock.
struct machine_time {
  static steady_time now() { return steadyNow(); }

  /// The wall time of the first call, moved on by the steady clock.
  static wall_time wall() {
    static const wall_time FirstWall = wallNow();
    static const steady_time First = steadyNow();
    return FirstWall +
           std::chrono::duration_cast<milliseconds>(steadyNow() - First);
  }
};

} // namespace endiverail
