#pragma once

#include <atomic>
#include <cstddef>

namespace endiverail {

/// Bytes that request bodies in progress may hold in the whole process.
class memory_budget {
public:
  explicit memory_budget(std::size_t Limit) : Left(Limit) {}

  /// Takes \p Bytes out of the budget, or refuses and takes nothing.
  bool reserve(std::size_t Bytes) {
    std::size_t Seen = Left.load(std::memory_order_relaxed);
    while (Seen >= Bytes)
      if (Left.compare_exchange_weak(Seen, Seen - Bytes,
                                     std::memory_order_relaxed))
        return true;
    return false;
  }

  void release(std::size_t Bytes) {
    Left.fetch_add(Bytes, std::memory_order_relaxed);
  }

  std::size_t left() const { return Left.load(std::memory_order_relaxed); }

private:
  std::atomic<std::size_t> Left;
};

} // namespace endiverail
