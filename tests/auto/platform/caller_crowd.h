#pragma once

#include "loopback_address.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail::test {

/// Many callers, each with a connection that stays open after its bytes.
class caller_crowd {
public:
  using shared_text = std::shared_ptr<const std::string>;

  explicit caller_crowd(std::uint16_t Port) : Port(Port) {}
  caller_crowd(const caller_crowd &) = delete;
  caller_crowd &operator=(const caller_crowd &) = delete;
  ~caller_crowd() {
    for (const member &Each : Members)
      if (Each.Descriptor >= 0)
        close(Each.Descriptor);
  }

  /// Callers that send \p Text and read \p BytesPerTurn of what they get.
  void add(std::size_t Count, std::string Text, std::size_t BytesPerTurn = 0) {
    auto Shared = std::make_shared<const std::string>(std::move(Text));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Members.push_back({connectTo(Port), Shared, *Shared, BytesPerTurn});
  }

  std::size_t size() const { return Members.size(); }

  /// Sends until all is sent or the other side takes no more for a while.
  void press() {
    constexpr int MostTurns = 1'000;
    constexpr int MostIdleTurns = 100;
    constexpr int TurnMilliseconds = 20;
    for (int Turn = 0, Idle = 0; Turn < MostTurns && Idle < MostIdleTurns;
         ++Turn) {
      bool Moved = false;
      for (member &Each : Members)
        Moved = takeTurn(Each) || Moved;
      Idle = Moved ? 0 : Idle + 1;
      poll(nullptr, 0, TurnMilliseconds);
    }
  }

private:
  struct member {
    int Descriptor = -1;
    shared_text Text;
    std::string_view Unsent;
    std::size_t BytesPerTurn = 0;
  };

  static int connectTo(std::uint16_t Port) {
    int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int ReceiveBuffer = 4'096;
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
    sockaddr_in Address = loopback(Port);
    if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
      throw std::runtime_error("connect failed");
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
    return Descriptor;
  }

  /// Whether the member could send.
  static bool takeTurn(member &Each) {
    if (Each.Descriptor < 0)
      return false;
    bool Moved = false;
    while (!Each.Unsent.empty()) {
      ssize_t Sent = send(Each.Descriptor, Each.Unsent.data(),
                          Each.Unsent.size(), MSG_NOSIGNAL);
      if (Sent < 0 && errno != EAGAIN) {
        close(std::exchange(Each.Descriptor, -1));
        return true;
      }
      if (Sent <= 0)
        break;
      Each.Unsent.remove_prefix(static_cast<std::size_t>(Sent));
      Moved = true;
    }
    if (Each.BytesPerTurn != 0) {
      std::string Bytes(Each.BytesPerTurn, '\0');
      [[maybe_unused]] ssize_t Size =
          recv(Each.Descriptor, Bytes.data(), Bytes.size(), 0);
    }
    return Moved;
  }

  std::uint16_t Port;
  std::vector<member> Members;
};

} // namespace endiverail::test
