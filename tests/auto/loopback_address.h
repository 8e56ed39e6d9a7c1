#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace endiverail::test {

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace endiverail::test
