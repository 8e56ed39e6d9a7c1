#include "attempt_runner.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

namespace {

struct server_answer {
  const char *What;
  int Status;
  std::string Bytes;
  std::string Body;
};

std::vector<server_answer> answersNaming(const std::string &Mark) {
  const std::string Named = "X-Mark: " + Mark + "\r\n";
  const std::string Body = "body of " + Mark;
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return {
      {"success", 200, "HTTP/1.1 200 OK\r\n" + Named + Length + "\r\n" + Body,
       Body},
      {"rejection", 404,
       "HTTP/1.1 404 Not Found\r\nX-First: some text\r\n" + Named + Length +
           "\r\n" + Body,
       Body},
      {"failure in chunks", 500,
       "HTTP/1.1 500 Internal Server Error\r\n" + Named +
           "Transfer-Encoding: chunked\r\n\r\nb\r\n" + Body + "\r\n0\r\n\r\n",
       Body},
      {"success without length", 200,
       "HTTP/1.1 200 OK\r\n" + Named + "\r\n" + Body, Body},
      {"no content", 204, "HTTP/1.1 204 No Content\r\n" + Named + "\r\n", ""},
  };
}

/// Runs an attempt that gets \p Bytes.
attempt_end runOnce(attempt_runner &Runner, const std::string &Bytes) {
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send(Bytes);
  });
  std::string Endpoint = Server.endpoint();
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.AcceptsUnframed = true;
  return Runner.run(Request);
}

} // namespace

TEST_CASE("the beginning of another answer in front changes no answer") {
  for (const server_answer &Copy : answersNaming("one"))
    for (const server_answer &Own : answersNaming("two"))
      for (std::size_t Cut = 0; Cut < Copy.Bytes.size(); ++Cut) {
        INFO("a copy of a " << Copy.What << " cut after " << Cut
                            << " bytes, then a " << Own.What);
        attempt_runner Runner;
        attempt_end End =
            runOnce(Runner, Copy.Bytes.substr(0, Cut) + Own.Bytes);
        REQUIRE((Cut > 0 || !End.Failure));
        // The identifier is compared by whoever gets the head.
        if (End.Failure || findHeader(Runner.Head.Headers, "X-Mark") != "two")
          continue;
        CHECK(Runner.Head.Status == Own.Status);
        CHECK(Runner.Body == Own.Body);
      }
}

TEST_CASE("another answer behind the beginning of the own one ends it") {
  for (const server_answer &Own : answersNaming("two"))
    for (const server_answer &Other : answersNaming("one")) {
      std::size_t HeadSize = Own.Bytes.find("\r\n\r\n") + 4;
      for (std::size_t Cut = 1; Cut < HeadSize; ++Cut) {
        INFO("a " << Own.What << " cut after " << Cut << " bytes, then a "
                  << Other.What);
        attempt_runner Runner;
        attempt_end End =
            runOnce(Runner, Own.Bytes.substr(0, Cut) + Other.Bytes);
        if (!End.Failure)
          CHECK(findHeader(Runner.Head.Headers, "X-Mark") != "two");
      }
    }
}

TEST_CASE("body bytes before a complete head end the attempt") {
  // The library ends a head at any line that begins with a carriage return.
  attempt_runner Runner;
  attempt_end End =
      runOnce(Runner, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\rX: y\r\nabc");
  REQUIRE(End.Failure);
  CHECK(End.Failure->Kind == error_kind::BackendMalformed);
  CHECK(Runner.Body.empty());
}

TEST_CASE("a body of another length than its head says is not whole") {
  struct row {
    const char *What;
    std::string Bytes;
  };
  const std::string Chunks =
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  const row Rows[]{
      {"a length that the library can't hold",
       "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nabc"},
      {"chunks behind no content", "HTTP/1.1 204 No Content\r\n" + Chunks},
      {"chunks behind not modified", "HTTP/1.1 304 Not Modified\r\n" + Chunks},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    attempt_runner Runner;
    attempt_end End = runOnce(Runner, Row.Bytes);
    CHECK((End.Failure || Runner.Body.size() == Runner.Head.Length));
  }
}

TEST_CASE("only chunks and lengths frame an answer that may not end with its "
          "connection") {
  for (const char *Encoding : {"identity", "", "x", "chunked, identity"}) {
    INFO("Transfer-Encoding: " << Encoding);
    raw_server Server([&](raw_connection Connection, std::size_t) {
      Connection.readUntil("\r\n\r\n");
      Connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: " +
                      std::string(Encoding) + "\r\n\r\nabc");
    });
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    CHECK(Runner.run(attempt_runner::request("GET", Endpoint)).Failure);
  }
}

TEST_CASE("a field that another reader of the head may read otherwise is "
          "refused") {
  for (const std::string Line :
       {"Content-Length : 1", " Content-Length: 1", "\tX: 1", ": 1",
        "X: 1\rContent-Length: 1", "X Y: 1"}) {
    INFO(Line);
    attempt_runner Runner;
    attempt_end End = runOnce(Runner, "HTTP/1.1 200 OK\r\n" + Line +
                                          "\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(End.Failure);
  }
}
