#include "attempt_runner.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("another answer behind one without a length is no part of its body") {
  raw_server Server([](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    Connection.readUntil("\r\n\r\n");
    Connection.send("HTTP/1.1 200 OK\r\nX-Mark: own\r\n\r\nown body"
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.Connection = connection_choice::Reuse;
  Request.AcceptsUnframed = true;
  REQUIRE_FALSE(Runner.run(Request).Failure);
  attempt_end End = Runner.run(Request);
  REQUIRE(End.Connection.reused());
  if (!End.Failure)
    CHECK(Runner.Body == "own body");
}
