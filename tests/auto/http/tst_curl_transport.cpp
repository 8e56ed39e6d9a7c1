#include "attempt_runner.h"
#include "http/blocking_client.h"
#include "raw_socket.h"
#include "test_ports.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view KeptAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view KeptHead =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

/// Answers the first request of a connection, takes the second one and closes
/// without a word. Counts all requests that begin with \p Method.
raw_server::handler closesOnSecond(std::atomic<int> &Count,
                                   std::string_view Method) {
  return [&Count, Method](raw_connection Connection, std::size_t) {
    for (int Request = 0; Request < 2; ++Request) {
      std::string Head = Connection.readUntil("\r\n\r\n");
      Count += Head.starts_with(Method) ? 1 : 0;
      if (Head.empty() || Request == 1)
        return;
      Connection.send(Head.starts_with("HEAD") ? KeptHead : KeptAnswer);
    }
  };
}

} // namespace

TEST_CASE("an attempt is sent once, whatever the connection does") {
  struct row {
    const char *What;
    std::string_view Method;
    connection_choice Choice;
  };
  const row Rows[]{{"not idempotent", "POST", connectionFor(false)},
                   {"idempotent", "GET", connectionFor(true)},
                   {"on a reused connection", "POST", connection_choice::Reuse},
                   {"on a reused connection, without a body", "PUT",
                    connection_choice::Reuse}};
  for (const row &Row : Rows) {
    INFO(Row.What);
    std::atomic<int> Requests = 0;
    raw_server Server(closesOnSecond(Requests, Row.Method));
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    attempt_request First = attempt_runner::request("HEAD", Endpoint);
    First.Connection = connection_choice::Reuse;
    REQUIRE_FALSE(Runner.run(First).Failure);
    attempt_request Second = attempt_runner::request(Row.Method, Endpoint);
    Second.Body = Row.Method == "POST" ? "body" : "";
    Second.Connection = Row.Choice;
    attempt_end End = Runner.run(Second);
    CHECK(Requests == 1);
    if (Row.Choice == connection_choice::Reuse) {
      REQUIRE(End.Failure);
      CHECK(End.Failure->Kind == error_kind::BackendCut);
      CHECK_FALSE(End.Failure->ProvenNotRun);
      CHECK(End.Connection.reused());
    }
  }
}

TEST_CASE("how failed attempts are told apart") {
  struct row {
    const char *What;
    std::string Bytes;
    error_kind Kind;
  };
  using enum error_kind;
  const row Rows[]{
      {"cut before the head", "", BackendCut},
      {"cut within the head", "HTTP/1.1 200 OK\r\nContent-Le", BackendCut},
      {"cut short of its length",
       "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc", BackendCut},
      {"a broken chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       BackendCut},
      {"no last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       BackendCut},
      {"a chunk size that is none",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
       BackendCut},
      {"no length at all", "HTTP/1.1 200 OK\r\n\r\nabc", BackendMalformed},
      {"two lengths",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       BackendMalformed},
      {"a length with chunks",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       BackendMalformed},
      {"no HTTP", "SSH-2.0-nonsense\r\n\r\n", BackendMalformed},
      {"an endless head",
       "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n",
       BackendMalformed},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    raw_server Server([&](raw_connection Connection, std::size_t) {
      Connection.readUntil("\r\n\r\n");
      Connection.send(Row.Bytes);
    });
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    attempt_end End = Runner.run(attempt_runner::request("GET", Endpoint));
    REQUIRE(End.Failure);
    CHECK(End.Failure->Kind == Row.Kind);
    CHECK_FALSE(End.Failure->ProvenNotRun);
  }
}

TEST_CASE("an answer without end is given up by its size, not by its time") {
  struct row {
    const char *What;
    std::string Begin;
    std::string Again;
  };
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Long(1'000, 'x');
  const row Rows[]{
      {"no status line", "", Long},
      {"lines before the status line", "", "\r\n"},
      {"a status line", "HTTP/1.1 200 ", Long},
      {"a header field", "HTTP/1.1 200 OK\r\nX: ", Long},
      {"header fields", "HTTP/1.1 200 OK\r\n", "X: " + Long + "\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a chunk's size", Chunked, "0"},
      {"a chunk's extension", Chunked + "1;", Long},
      {"a trailer", Chunked + "1\r\na\r\n0\r\nX: ", Long},
      {"trailers", Chunked + "1\r\na\r\n0\r\n", "X: " + Long + "\r\n"},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    raw_server Server([&](raw_connection Connection, std::size_t) {
      Connection.readUntil("\r\n\r\n");
      Connection.send(Row.Begin);
      while (Connection.send(Row.Again)) {
      }
    });
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    attempt_request Request = attempt_runner::request("GET", Endpoint);
    Request.Timeout = 3s;
    attempt_end End = Runner.run(Request);
    REQUIRE(End.Failure);
    CHECK(End.Failure->Kind != error_kind::BackendTimeout);
    CHECK_FALSE(End.Failure->ProvenNotRun);
  }
}

TEST_CASE("a chunk whose size comes by itself is no endless frame") {
  const std::string Body(300'000, 'x');
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int Chunk = 0; Chunk < 3; ++Chunk) {
      Connection.send("493e0\r\n");
      poll(nullptr, 0, 50);
      Connection.send(Body + "\r\n");
      poll(nullptr, 0, 50);
    }
    Connection.send("0\r\n\r\n");
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  attempt_end End = Runner.run(attempt_runner::request("GET", Endpoint));
  CHECK_FALSE(End.Failure);
  CHECK(Runner.Body.size() == 3 * Body.size());
}

TEST_CASE("only an attempt that sent nothing is proven not run") {
  attempt_runner Runner;
  std::string Nobody = "127.0.0.1:" + std::to_string(freePort());
  attempt_end Refused = Runner.run(attempt_runner::request("POST", Nobody));
  REQUIRE(Refused.Failure);
  CHECK(Refused.Failure->ProvenNotRun);
  CHECK(Refused.Failure->Kind == error_kind::BackendUnreachable);

  raw_server Silent(
      [](raw_connection Connection, std::size_t) { Connection.readAll(); });
  std::string Endpoint = Silent.endpoint();
  attempt_request Request = attempt_runner::request("POST", Endpoint);
  Request.Timeout = 100ms;
  attempt_end TimedOut = Runner.run(Request);
  REQUIRE(TimedOut.Failure);
  CHECK_FALSE(TimedOut.Failure->ProvenNotRun);
  CHECK(TimedOut.Failure->Kind == error_kind::BackendTimeout);
}

TEST_CASE("whole answers of all shapes are read") {
  struct row {
    const char *What;
    std::string_view Method;
    std::string Bytes;
    std::string Body;
  };
  const row Rows[]{
      {"with a length", "GET",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
      {"in chunks with trailers", "GET",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\n"
       "c\r\n0\r\nX-Trailer: 1\r\n\r\n",
       "abc"},
      {"after an interim answer", "GET",
       "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 "
       "OK\r\nContent-Length: 1\r\n\r\na",
       "a"},
      {"without a body", "GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", ""},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    raw_server Server([&](raw_connection Connection, std::size_t) {
      Connection.readUntil("\r\n\r\n");
      Connection.send(Row.Bytes);
    });
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    attempt_end End = Runner.run(attempt_runner::request(Row.Method, Endpoint));
    CHECK_FALSE(End.Failure);
    CHECK(Runner.Body == Row.Body);
  }
}

TEST_CASE("an attempt's end tells which connection it was sent on") {
  raw_server Server([&](raw_connection Connection, std::size_t) {
    while (!Connection.readUntil("\r\n\r\n").empty())
      Connection.send(KeptAnswer);
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.Connection = connection_choice::Reuse;
  attempt_connection First = Runner.run(Request).Connection;
  attempt_connection Second = Runner.run(Request).Connection;
  Request.Connection = connection_choice::Fresh;
  attempt_connection Third = Runner.run(Request).Connection;
  CHECK(First.Number != 0);
  CHECK_FALSE(First.reused());
  CHECK(Second.Number == First.Number);
  CHECK(Second.EarlierAttempts == 1);
  CHECK(Second.UnaskedBytes == 0);
  CHECK(Third.Number != First.Number);
  CHECK_FALSE(Third.reused());
}

TEST_CASE("a kept connection that holds bytes of no request is not used") {
  struct row {
    const char *What;
    std::string_view Method;
    std::string_view Stray;
  };
  const row Rows[]{
      {"the beginning of a head", "GET", "HTTP/1.1 200 OK\r\n"},
      {"a whole answer", "GET", KeptAnswer},
      {"one byte", "POST", "H"},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    std::promise<void> Sent;
    std::promise<std::string> ReadAfterwards;
    raw_server Server([&](raw_connection Connection, std::size_t Number) {
      Connection.readUntil("\r\n\r\n");
      Connection.send(KeptAnswer);
      if (Number > 0)
        return;
      poll(nullptr, 0, 50);
      Connection.send(Row.Stray);
      Sent.set_value();
      ReadAfterwards.set_value(Connection.readAll());
    });
    std::string Endpoint = Server.endpoint();
    attempt_runner Runner;
    attempt_request Request = attempt_runner::request(Row.Method, Endpoint);
    Request.Connection = connection_choice::Reuse;
    Request.Timeout = 500ms;
    attempt_end First = Runner.run(Request);
    REQUIRE_FALSE(First.Failure);
    CHECK_FALSE(First.Discarded);
    Sent.get_future().wait();
    attempt_end End = Runner.run(Request);
    CHECK_FALSE(End.Failure);
    CHECK(Runner.Body == "ok");
    CHECK(Runner.Starts == 2);
    CHECK(End.Connection.Number != First.Connection.Number);
    CHECK_FALSE(End.Connection.reused());
    REQUIRE(End.Discarded);
    CHECK(End.Discarded->Number == First.Connection.Number);
    CHECK(End.Discarded->UnaskedBytes == Row.Stray.size());
    CHECK(ReadAfterwards.get_future().get().empty());
  }
}

TEST_CASE("an answer that is refused ends with the reason") {
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send(KeptAnswer);
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  Runner.Refuse = error_kind::ForeignAnswer;
  attempt_end End = Runner.run(attempt_runner::request("GET", Endpoint));
  REQUIRE(End.Failure);
  CHECK(End.Failure->Kind == error_kind::ForeignAnswer);
  CHECK(Runner.Body.empty());
}

TEST_CASE("a late copy of a refusal meets no second sending of its request") {
  std::promise<std::string> ReadAfterwards;
  raw_server Server([&](raw_connection Connection, std::size_t Number) {
    Connection.readUntil("\r\n\r\n");
    Connection.send(KeptAnswer);
    if (Number > 0)
      return;
    Connection.send(KeptAnswer);
    ReadAfterwards.set_value(Connection.readAll());
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.Connection = connection_choice::Reuse;
  Runner.Refuse = error_kind::BackendShed;
  attempt_end Refused = Runner.run(Request);
  REQUIRE(Refused.Failure);
  Runner.Refuse.reset();
  attempt_end End = Runner.run(Request);
  CHECK_FALSE(End.Failure);
  CHECK(End.Connection.Number != Refused.Connection.Number);
  // The connection of the refusal was closed, not left to others.
  CHECK_FALSE(End.Discarded);
  CHECK(ReadAfterwards.get_future().get().empty());
}

TEST_CASE("a request goes out as it is meant") {
  std::string Seen;
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Seen = Connection.readUntil("body");
    Connection.send(KeptAnswer);
  });
  std::string Endpoint = Server.endpoint();
  attempt_request Request = attempt_runner::request("POST", Endpoint);
  const std::vector<header_field> Fields{{"X-A", "1"}, {"X-Empty", ""}};
  Request.Target = "/a/../b?c=%20";
  Request.Headers = Fields;
  Request.Body = "body";
  attempt_runner Runner;
  REQUIRE_FALSE(Runner.run(Request).Failure);
  CHECK(Seen.starts_with("POST /a/../b?c=%20 HTTP/1.1\r\n"));
  CHECK(Seen.find("X-A: 1\r\n") != std::string::npos);
  CHECK(Seen.find("X-Empty:\r\n") != std::string::npos);
  CHECK(Seen.find("Content-Length: 4\r\n") != std::string::npos);
  for (const char *Unwanted : {"Accept:", "Content-Type:", "Expect:"})
    CHECK(Seen.find(Unwanted) == std::string::npos);
}

TEST_CASE("a single call tells failures too") {
  std::string Nobody = "127.0.0.1:" + std::to_string(freePort());
  CHECK(failureOf([&] { return fetch("GET", Nobody, "/", "", 1s); }) ==
        error_kind::BackendUnreachable);
}

TEST_CASE("an answer whose head is cut anywhere is never whole") {
  bool AcceptsUnframed = GENERATE(false, true);
  std::string Head =
      GENERATE(as<std::string>{},
               "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 12\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "HTTP/1.1 200 OK\r\nX-Mark: m\r\nConnection: close\r\n\r\n",
               "HTTP/1.1 200 OK\nX-Mark: m\n\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");
  std::atomic<std::size_t> Cut = 0;
  raw_server Server([&](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send(std::string_view(Head).substr(0, Cut));
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  for (; Cut < Head.size(); ++Cut) {
    INFO(Head << " cut after " << Cut << " bytes");
    attempt_request Request = attempt_runner::request("GET", Endpoint);
    Request.AcceptsUnframed = AcceptsUnframed;
    attempt_end End = Runner.run(Request);
    REQUIRE(End.Failure);
    CHECK_FALSE(End.Failure->ProvenNotRun);
    CHECK(Runner.Head.Status == 0);
  }
}

TEST_CASE("an attempt that is withdrawn once its connection is there sends "
          "nothing") {
  connection_choice Choice =
      GENERATE(connection_choice::Fresh, connection_choice::Reuse);
  std::atomic<int> Requests = 0;
  raw_server Server([&](raw_connection Connection, std::size_t) {
    while (!Connection.readUntil("\r\n\r\n").empty()) {
      ++Requests;
      Connection.send(KeptAnswer);
    }
  });
  std::string Endpoint = Server.endpoint();
  attempt_runner Runner;
  attempt_request Request = attempt_runner::request("GET", Endpoint);
  Request.Connection = Choice;
  REQUIRE_FALSE(Runner.run(Request).Failure);
  Runner.MayStart = false;
  attempt_end End = Runner.run(Request);
  CHECK(Requests == 1);
  CHECK(End.Withdrawn);
  REQUIRE(End.Failure);
  CHECK(End.Failure->ProvenNotRun);
  Runner.MayStart = true;
  CHECK_FALSE(Runner.run(Request).Failure);
  CHECK(Requests == 2);
}
