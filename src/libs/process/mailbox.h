#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <mutex>
#include <utility>
#include <vector>

namespace endiverail {

/// Owns an eventfd descriptor.
class event_descriptor {
public:
  static result<event_descriptor> create();

  event_descriptor(event_descriptor &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  event_descriptor &operator=(event_descriptor &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    return *this;
  }
  event_descriptor(const event_descriptor &) = delete;
  event_descriptor &operator=(const event_descriptor &) = delete;
  ~event_descriptor();

  int descriptor() const { return Descriptor; }
  void notify() const;
  void clear() const;

private:
  explicit event_descriptor(int Descriptor) : Descriptor(Descriptor) {}
  int Descriptor;
};

/// The messages that were waiting for a thread, in the order of posting.
template <typename Message> struct message_batch {
  std::vector<Message> Messages;
  /// When the first of them was posted; meaningless if there are none.
  steady_time FirstPosted;
};

/// Message queue from any thread to the thread that owns the mailbox. The owner
/// is woken through the descriptor and need not poll the queue.
template <typename Message> class mailbox {
public:
  explicit mailbox(event_descriptor Event) : Event(std::move(Event)) {}

  void post(Message &&Posted) {
    bool WasEmpty = false;
    {
      std::lock_guard Lock(Mutex);
      WasEmpty = Pending.Messages.empty();
      if (WasEmpty)
        Pending.FirstPosted = steadyNow();
      Pending.Messages.push_back(std::move(Posted));
    }
    if (WasEmpty)
      Event.notify();
  }

  /// Removes and returns all pending messages.
  message_batch<Message> takeAll() {
    Event.clear();
    std::lock_guard Lock(Mutex);
    return std::exchange(Pending, {});
  }

  int descriptor() const { return Event.descriptor(); }

private:
  event_descriptor Event;
  std::mutex Mutex;
  message_batch<Message> Pending;
};

} // namespace endiverail
