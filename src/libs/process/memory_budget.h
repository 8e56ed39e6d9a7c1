#pragma once

#include <atomic>
#include <cstddef>

namespace endiverail {

/// Limits the memory that request bodies in progress use in the whole process.
class memory_budget {
public:
  explicit memory_budget(std::size_t Limit) : Available(Limit) {}

  /// Reserves \p Bytes; returns false and reserves nothing if fewer are
  /// available.
  bool tryReserve(std::size_t Bytes) {
    std::size_t Current = Available.load(std::memory_order_relaxed);
    while (Current >= Bytes)
      if (Available.compare_exchange_weak(Current, Current - Bytes,
                                          std::memory_order_relaxed))
        return true;
    return false;
  }

  void release(std::size_t Bytes) {
    Available.fetch_add(Bytes, std::memory_order_relaxed);
  }

  std::size_t available() const {
    return Available.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::size_t> Available;
};

} // namespace endiverail
