#include "failure_check.h"
#include "peer/datagram_socket.h"
#include "raw_socket.h"
#include "test_ports.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("datagrams arrive whole, oversize ones are not sent") {
  std::string Address = "127.0.0.1:" + std::to_string(freePort());
  datagram_socket Socket = valueOf(datagram_socket::create(Address));
  CHECK_FALSE(Socket.receive());
  Socket.send(Address, std::string(100'000, 'x'));
  Socket.send("nonsense", "x");
  Socket.send(Address, "hello");
  pollfd Waiting{Socket.descriptor(), POLLIN, 0};
  REQUIRE(poll(&Waiting, 1, PatienceMilliseconds) == 1);
  CHECK(Socket.receive() == "hello");
  CHECK(failureOf([&] { return datagram_socket::create(Address); }) ==
        error_kind::BadSettings);
  CHECK(failureOf([] { return datagram_socket::create("nonsense"); }) ==
        error_kind::BadSettings);
}
