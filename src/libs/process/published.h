#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace endiverail {

/// The one shared pointer through which the control thread hands an immutable
/// version to the others. The lock is held only for the copy of a pointer.
template <typename Version> class published {
public:
  using reference = std::shared_ptr<const Version>;

  explicit published(reference First) : Current(std::move(First)) {}

  reference load() const {
    std::lock_guard Lock(Mutex);
    return Current;
  }

  /// The old version, if nobody else holds it, ends after the lock.
  void store(reference Next) {
    std::lock_guard Lock(Mutex);
    std::swap(Current, Next);
  }

private:
  mutable std::mutex Mutex;
  reference Current;
};

} // namespace endiverail
