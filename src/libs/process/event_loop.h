#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace endiverail {

/// A ready descriptor.
struct ready_descriptor {
  int Descriptor = -1;
  bool Readable = false;
  bool Writable = false;
};

/// Owns an epoll instance for the descriptors that one thread waits for.
class poller {
public:
  static result<poller> create();

  poller(poller &&Other) noexcept;
  poller &operator=(poller &&) = delete;
  poller(const poller &) = delete;
  poller &operator=(const poller &) = delete;
  ~poller();

  /// Adds a descriptor or changes the events that it is watched for.
  void watch(int Descriptor, bool Readable, bool Writable);
  void unwatch(int Descriptor);

  /// Waits until a descriptor is ready or \p Until is reached. The returned
  /// span is valid until the next call.
  std::span<const ready_descriptor> wait(std::optional<steady_time> Until);

private:
  explicit poller(int Descriptor) : Descriptor(Descriptor) {}
  int Descriptor;
  std::vector<ready_descriptor> Ready;
};

/// Callbacks of an event loop.
template <typename T>
concept event_handler = requires(T Handler, steady_time Now,
                                 const ready_descriptor &Ready) {
  /// A watched descriptor is ready.
  {Handler.onReady(Ready, Now)};
  /// Called after each wait, also after a timeout.
  {Handler.onWake(Now)};
  /// Latest time for the next call of onWake; unset for no limit.
  { Handler.nextWake() } -> std::same_as<std::optional<steady_time>>;
  /// True ends the loop.
  { Handler.finished() } -> std::same_as<bool>;
};

/// Runs the event loop on the calling thread until \p H has finished.
template <event_handler Handler> void runEventLoop(poller &Poller, Handler &H) {
  while (!H.finished()) {
    auto Ready = Poller.wait(H.nextWake());
    steady_time Now = steadyNow();
    for (const ready_descriptor &Descriptor : Ready)
      H.onReady(Descriptor, Now);
    H.onWake(Now);
  }
}

} // namespace endiverail
