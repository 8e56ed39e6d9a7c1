#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace endiverail {

/// Shared pointer through which the control thread publishes an immutable
/// version to other threads. The lock is held only while a pointer is copied or
/// swapped.
template <typename Version> class published {
public:
  using reference = std::shared_ptr<const Version>;

  explicit published(reference First) : Current(std::move(First)) {}

  reference load() const {
    std::lock_guard Lock(Mutex);
    return Current;
  }

  /// If this is the last reference to the old version, it is destroyed after
  /// the lock is released.
  void store(reference Next) {
    std::lock_guard Lock(Mutex);
    std::swap(Current, Next);
  }

private:
  mutable std::mutex Mutex;
  reference Current;
};

} // namespace endiverail
