#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace endiverail::test {

/// \p Host is any address of loopback.
inline sockaddr_in loopback(std::uint16_t Port,
                            const std::string &Host = "127.0.0.1") {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = inet_addr(Host.c_str());
  return Address;
}

} // namespace endiverail::test
