#include "attempt_runner.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// How the end of an answer is marked, and what comes before its head.
struct answer_shape {
  const char *What;
  const char *Before;
  const char *Framing;
  const char *Body;
};

const answer_shape Shapes[]{
    {"a length", "", "Content-Length: 2\r\n", "ok"},
    {"chunks", "", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"},
    {"the end of its connection", "", "", "ok"},
    {"an interim answer before it", "HTTP/1.1 100 Continue\r\n\r\n",
     "Content-Length: 2\r\n", "ok"},
};

attempt_end endOf(attempt_runner &Runner, const answer_shape &Shape,
                  const std::string &StatusLine) {
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send(Shape.Before + StatusLine + "\r\n" + Shape.Framing +
                    "\r\n" + Shape.Body);
  });
  std::string Endpoint = Server.endpoint();
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.AcceptsUnframed = true;
  return Runner.run(Request);
}

} // namespace

TEST_CASE("a status that HTTP does not define is no answer") {
  for (const answer_shape &Shape : Shapes)
    for (const char *Status : {"000", "001", "099", "600", "999", "0", "20",
                               "2000", "-12", "2x0", "abc", " 200", "101"}) {
      INFO(Shape.What << ", " << Status);
      attempt_runner Runner;
      attempt_end End =
          endOf(Runner, Shape, "HTTP/1.1 " + std::string(Status) + " Odd");
      REQUIRE(End.Failure);
      CHECK(End.Failure->Kind == error_kind::BackendMalformed);
      CHECK_FALSE(End.Failure->ProvenNotRun);
      CHECK(Runner.Head.Status == 0);
      CHECK(Runner.Body.empty());
    }
}

TEST_CASE("the first and the last final status of HTTP are answers") {
  for (const answer_shape &Shape : Shapes)
    for (int Status : {200, 299, 499, 599}) {
      INFO(Shape.What << ", " << Status);
      attempt_runner Runner;
      attempt_end End =
          endOf(Runner, Shape, "HTTP/1.1 " + std::to_string(Status) + " Known");
      CHECK_FALSE(End.Failure);
      CHECK(Runner.Head.Status == Status);
      CHECK(Runner.Body == "ok");
    }
}
