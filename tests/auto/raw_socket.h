#pragma once

#include "loopback_address.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace endiverail::test {

/// Long enough that only a real fault runs into it.
inline constexpr int PatienceMilliseconds = 20'000;

/// A plain TCP connection that sends and reads bytes as they are.
class raw_connection {
public:
  explicit raw_connection(int Descriptor) : Descriptor(Descriptor) {}

  static raw_connection to(std::uint16_t Port, int ReceiveBuffer = 0,
                           const std::string &Host = "127.0.0.1") {
    int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (ReceiveBuffer > 0)
      setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
    raw_connection Opened(Descriptor);
    sockaddr_in Address = loopback(Port, Host);
    if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
      throw std::runtime_error("connect failed");
    return Opened;
  }

  raw_connection(raw_connection &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)),
        Unread(std::move(Other.Unread)) {}
  raw_connection &operator=(raw_connection &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    std::swap(Unread, Other.Unread);
    return *this;
  }
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;
  ~raw_connection() { closeNow(); }

  void closeNow() {
    if (Descriptor >= 0)
      close(std::exchange(Descriptor, -1));
  }

  /// Closes so that the other side sees a reset.
  void resetNow() {
    linger Hard{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    closeNow();
  }

  /// Whether bytes or the end of the connection come within that time.
  bool hasInput(int Milliseconds) const {
    pollfd Waiting{Descriptor, POLLIN, 0};
    return !Unread.empty() || poll(&Waiting, 1, Milliseconds) > 0;
  }

  /// Whether the other side still takes bytes.
  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      ssize_t Sent =
          ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  void endSending() { shutdown(Descriptor, SHUT_WR); }

  /// Reads until \p Count bytes are there or the other side closes.
  std::string read(std::size_t Count) {
    while (Unread.size() < Count && more()) {
    }
    return take(Count);
  }

  /// Reads up to and with \p Mark, or to the end.
  std::string readUntil(std::string_view Mark) {
    while (Unread.find(Mark) == std::string::npos && more()) {
    }
    std::size_t At = Unread.find(Mark);
    return take(At == std::string::npos ? Unread.size() : At + Mark.size());
  }

  /// Reads until the other side closes.
  std::string readAll() {
    while (more()) {
    }
    return take(Unread.size());
  }

  /// One answer with a Content-Length, head and body.
  std::string readAnswer() {
    std::string Head = readUntil("\r\n\r\n");
    std::size_t At = Head.find("Content-Length: ");
    std::size_t Size =
        At == std::string::npos ? 0 : std::stoul(Head.substr(At + 16));
    return Head + read(Size);
  }

private:
  bool more() {
    pollfd Waiting{Descriptor, POLLIN, 0};
    if (poll(&Waiting, 1, PatienceMilliseconds) <= 0)
      throw std::runtime_error("nothing came for a long time");
    char Buffer[65'536];
    ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), 0);
    if (Size <= 0)
      return false;
    Unread.append(Buffer, static_cast<std::size_t>(Size));
    return true;
  }

  std::string take(std::size_t Count) {
    Count = std::min(Count, Unread.size());
    std::string Taken = Unread.substr(0, Count);
    Unread.erase(0, Count);
    return Taken;
  }

  int Descriptor;
  std::string Unread;
};

/// A server that hands each connection to a function of the test.
class raw_server {
public:
  using handler = std::function<void(raw_connection, std::size_t Index)>;

  /// Resets the connections beyond \p MaxConnections at once.
  explicit raw_server(
      handler Handle,
      std::size_t MaxConnections = std::numeric_limits<std::size_t>::max())
      : Handle(std::move(Handle)), MaxConnections(MaxConnections) {
    Listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof(Address);
    if (bind(Listening, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Listening, 64) != 0)
      throw std::runtime_error("listen failed");
    getsockname(Listening, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    Thread = std::thread([this] { serve(); });
  }
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;
  ~raw_server() {
    shutdown(Listening, SHUT_RDWR);
    Thread.join();
    close(Listening);
    Connections.clear();
  }

  std::uint16_t port() const { return Port; }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  void serve() {
    for (std::size_t Index = 0;; ++Index) {
      int Accepted = accept(Listening, nullptr, nullptr);
      if (Accepted < 0)
        return;
      std::erase_if(Connections,
                    [](const served &Each) { return Each.Ended->load(); });
      if (Connections.size() >= MaxConnections) {
        raw_connection(Accepted).resetNow();
        continue;
      }
      auto Ended = std::make_shared<std::atomic<bool>>(false);
      Connections.push_back(
          {Ended, std::jthread([this, Accepted, Index, Ended] {
             Handle(raw_connection(Accepted), Index);
             *Ended = true;
           })});
    }
  }

  /// The thread of a connection; it is joined by its end.
  struct served {
    std::shared_ptr<std::atomic<bool>> Ended;
    std::jthread Thread;
  };

  handler Handle;
  std::size_t MaxConnections;
  int Listening = -1;
  std::uint16_t Port = 0;
  std::thread Thread;
  std::vector<served> Connections;
};

} // namespace endiverail::test
