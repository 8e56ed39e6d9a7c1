#pragma once

#include "loopback_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace endiverail::test {

/// Ports of loopback that no other test program takes. They lie below the range
/// from which the kernel takes ports for outgoing connections: one of those may
/// hold any port of that range by the time a test listens on it.
class port_block {
public:
  static constexpr std::uint16_t FirstPort = 25'000;
  static constexpr std::uint16_t EndOfPorts = 32'000;
  static constexpr std::uint16_t BlockSize = 500;

  /// The block of this process; throws when all are taken.
  static port_block &ofProcess() {
    static port_block Block;
    return Block;
  }

  /// A port that this process was not given before and nothing listens on;
  /// throws when the block is used up.
  std::uint16_t next() {
    while (++Last < Claimed + BlockSize)
      if (int Descriptor = listenOn(Last); Descriptor >= 0) {
        close(Descriptor);
        return Last;
      }
    throw std::runtime_error("the test has used up its ports");
  }

  port_block(const port_block &) = delete;
  port_block &operator=(const port_block &) = delete;
  ~port_block() { close(Claim); }

private:
  /// Listens on the first port of its block for as long as it lives, which
  /// keeps other test programs out.
  port_block() {
    for (Claimed = FirstPort; Claimed < EndOfPorts; Claimed += BlockSize)
      if ((Claim = listenOn(Claimed)) >= 0) {
        Last = Claimed;
        return;
      }
    throw std::runtime_error("all blocks of test ports are taken");
  }

  static int listenOn(std::uint16_t Port) {
    int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Port);
    if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) == 0 &&
        listen(Descriptor, 1) == 0)
      return Descriptor;
    close(Descriptor);
    return -1;
  }

  std::uint16_t Claimed = 0;
  std::uint16_t Last = 0;
  int Claim = -1;
};

inline std::uint16_t freePort() { return port_block::ofProcess().next(); }

} // namespace endiverail::test
