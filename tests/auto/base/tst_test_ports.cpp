#include "test_ports.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>

using namespace endiverail::test;

TEST_CASE("no outgoing connection can take a port of a test") {
  std::uint16_t FirstOutgoing = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> FirstOutgoing;
  REQUIRE(FirstOutgoing > 0);

  std::set<std::uint16_t> Given;
  for (int Count = 0; Count < 100; ++Count) {
    std::uint16_t Port = freePort();
    CHECK(Port < FirstOutgoing);
    CHECK(Given.insert(Port).second);
  }
}
