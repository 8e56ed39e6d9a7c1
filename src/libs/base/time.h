#pragma once

#include <chrono>
#include <cstdint>

namespace endiverail {

/// Decisions take the time as an argument; only event loops read this clock.
using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Milliseconds since the Unix epoch, for people and for hybrid logical time.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

inline wall_time wallNow() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

inline steady_time steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace endiverail
