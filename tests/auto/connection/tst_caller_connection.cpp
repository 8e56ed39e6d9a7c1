#include "connection/caller_connection.h"
#include "failure_check.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const framing_limits Limits{1024, 1024};

} // namespace

TEST_CASE("a pipelined request is taken after the previous response") {
  caller_connection Connection(Limits);
  REQUIRE(Connection.receive("GET /1 HTTP/1.1\r\n\r\n"
                             "POST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                             "GET /3 HTTP/1.1\r\n\r\n"));
  auto First = valueOf(Connection.takeRequest());
  REQUIRE(First);
  CHECK(First->Frame.Target == "/1");
  CHECK_FALSE(valueOf(Connection.takeRequest()));
  Connection.finishResponse();
  auto Second = valueOf(Connection.takeRequest());
  REQUIRE(Second);
  CHECK(Second->Body == "ab");
  Connection.finishResponse();
  CHECK(valueOf(Connection.takeRequest())->Frame.Target == "/3");
}

TEST_CASE("only the request in progress awaits a response") {
  caller_connection Connection(Limits);
  REQUIRE(Connection.receive("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"));
  CHECK_FALSE(Connection.awaitsResponse(1));
  valueOf(Connection.takeRequest());
  CHECK(Connection.awaitsResponse(1));
  CHECK_FALSE(Connection.awaitsResponse(2));
  Connection.finishResponse();
  CHECK_FALSE(Connection.awaitsResponse(1));
  valueOf(Connection.takeRequest());
  CHECK_FALSE(Connection.awaitsResponse(1));
  CHECK(Connection.awaitsResponse(2));
}

TEST_CASE("a body may arrive in several parts") {
  caller_connection Connection(Limits);
  REQUIRE(
      Connection.receive("POST /1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab"));
  CHECK_FALSE(valueOf(Connection.takeRequest()));
  CHECK(valueOf(Connection.pendingFrame())->BodyBytes == 4);
  REQUIRE(Connection.receive("cd"));
  CHECK(valueOf(Connection.takeRequest())->Body == "abcd");
}

TEST_CASE("the amount of data that a caller sends ahead is limited") {
  caller_connection Connection(Limits);
  CHECK(Connection.receive(std::string(2048, 'x')));
  CHECK(failureOf([&] { return Connection.receive("x"); }) ==
        error_kind::BodyTooLarge);
}
