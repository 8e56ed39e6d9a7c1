#pragma once

#include "base/error_kind.h"
#include "process/event_loop.h"
#include "process/mailbox.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace endiverail::detail {

/// Owns a socket descriptor.
class owned_socket {
public:
  explicit owned_socket(int Descriptor) : Descriptor(Descriptor) {}
  owned_socket(owned_socket &&Other) noexcept : Descriptor(Other.release()) {}
  owned_socket &operator=(owned_socket &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    return *this;
  }
  owned_socket(const owned_socket &) = delete;
  owned_socket &operator=(const owned_socket &) = delete;
  ~owned_socket();

  int descriptor() const { return Descriptor; }
  int release() { return std::exchange(Descriptor, -1); }

private:
  int Descriptor;
};

/// Listens on an address and accepts connections on a thread of its own.
/// Pistache's listener is not used: it may fail to wake the thread that a
/// connection is for.
class connection_acceptor {
public:
  /// Takes each connection; called on the acceptor's thread.
  using receiver = std::function<void(owned_socket)>;

  /// Begins to accept. Fails with BadSettings when the address can't be used.
  static result<std::unique_ptr<connection_acceptor>>
  create(const std::string &Address, std::uint16_t Port, receiver Receive);

  connection_acceptor(const connection_acceptor &) = delete;
  connection_acceptor &operator=(const connection_acceptor &) = delete;
  /// Stops listening.
  ~connection_acceptor();

  /// The port that callers connect to.
  std::uint16_t port() const;

  /// Callbacks of the event loop.
  void onReady(const ready_descriptor &Ready, steady_time Now);
  void onWake(steady_time Now);
  std::optional<steady_time> nextWake() const { return ResumeAt; }
  bool finished() const { return Stopped; }

private:
  connection_acceptor(owned_socket Listening, poller Poller,
                      event_descriptor Stop, receiver Receive);
  void acceptPending(steady_time Now);

  owned_socket Listening;
  poller Poller;
  event_descriptor Stop;
  receiver Receive;
  bool Stopped = false;
  /// When to listen again after the process had no descriptor for a caller.
  std::optional<steady_time> ResumeAt;
  std::thread Thread;
};

} // namespace endiverail::detail
