#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <utility>

namespace endiverail {

/// Account of the memory that callers' requests and the answers that they have
/// not read use in the whole process.
class memory_budget {
public:
  explicit memory_budget(std::size_t Limit)
      : Limit(static_cast<std::ptrdiff_t>(Limit)) {}

  /// Reserves \p Bytes; returns false and reserves nothing if fewer are
  /// available.
  bool tryReserve(std::size_t Bytes) {
    auto Change = static_cast<std::ptrdiff_t>(Bytes);
    std::ptrdiff_t Current = Held.load(std::memory_order_relaxed);
    while (Limit - Current >= Change)
      if (Held.compare_exchange_weak(Current, Current + Change,
                                     std::memory_order_relaxed)) {
        notePeak(Current + Change);
        return true;
      }
    return false;
  }

  /// Reserves \p Bytes that are held already, even beyond the limit.
  void reserve(std::size_t Bytes) {
    auto Change = static_cast<std::ptrdiff_t>(Bytes);
    notePeak(Held.fetch_add(Change, std::memory_order_relaxed) + Change);
  }

  void release(std::size_t Bytes) {
    Held.fetch_sub(static_cast<std::ptrdiff_t>(Bytes),
                   std::memory_order_relaxed);
  }

  std::size_t available() const {
    std::ptrdiff_t Left = Limit - Held.load(std::memory_order_relaxed);
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, Left));
  }
  bool overdrawn() const {
    return Held.load(std::memory_order_relaxed) > Limit;
  }
  std::size_t held() const {
    return static_cast<std::size_t>(Held.load(std::memory_order_relaxed));
  }
  /// The most that was held at any time.
  std::size_t peak() const {
    return static_cast<std::size_t>(Peak.load(std::memory_order_relaxed));
  }

private:
  void notePeak(std::ptrdiff_t Now) {
    std::ptrdiff_t Current = Peak.load(std::memory_order_relaxed);
    while (Current < Now && !Peak.compare_exchange_weak(
                                Current, Now, std::memory_order_relaxed)) {
    }
  }

  std::ptrdiff_t Limit;
  std::atomic<std::ptrdiff_t> Held = 0;
  std::atomic<std::ptrdiff_t> Peak = 0;
};

/// Bytes that an owner holds of an account, until it ends at the latest.
class memory_hold {
public:
  memory_hold() = default;
  explicit memory_hold(memory_budget *From) : From(From) {}
  memory_hold(memory_hold &&Other) noexcept
      : From(Other.From), Bytes(std::exchange(Other.Bytes, 0)) {}
  memory_hold &operator=(memory_hold &&Other) noexcept {
    std::swap(From, Other.From);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  memory_hold(const memory_hold &) = delete;
  memory_hold &operator=(const memory_hold &) = delete;
  ~memory_hold() { resize(0); }

  /// Holds \p Size bytes from now on, even beyond the limit.
  void resize(std::size_t Size) {
    if (!From)
      return;
    if (Size >= Bytes)
      From->reserve(Size - Bytes);
    else
      From->release(Bytes - Size);
    Bytes = Size;
  }

private:
  memory_budget *From = nullptr;
  std::size_t Bytes = 0;
};

} // namespace endiverail
