#include "event_capture.h"
#include "failure_check.h"
#include "http/front_end.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

#include <array>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

struct taken_request {
  response_handle ResponseHandle;
  received_request Request;
};

/// Keeps requests until the test answers them from its own thread.
class holding_sink {
public:
  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    std::lock_guard Lock(Mutex);
    Requests.push_back({ResponseHandle, std::move(Request)});
    Changed.notify_all();
    return 0;
  }
  void onWritten(request_owner, const response_handle &, std::size_t Bytes) {
    std::lock_guard Lock(Mutex);
    WrittenBytes += Bytes;
    Changed.notify_all();
  }
  void onCallerGone(request_owner, const response_handle &) {
    std::lock_guard Lock(Mutex);
    ++GoneCallers;
    Changed.notify_all();
  }

  taken_request take() {
    std::unique_lock Lock(Mutex);
    if (!Changed.wait_for(Lock, 20s, [&] { return !Requests.empty(); }))
      throw std::runtime_error("no request came");
    taken_request Taken = std::move(Requests.front());
    Requests.erase(Requests.begin());
    return Taken;
  }

  void awaitGone(std::size_t Count) {
    std::unique_lock Lock(Mutex);
    if (!Changed.wait_for(Lock, 20s, [&] { return GoneCallers >= Count; }))
      throw std::runtime_error("no caller went");
  }

  void awaitWritten(std::size_t Bytes) {
    std::unique_lock Lock(Mutex);
    if (!Changed.wait_for(Lock, 20s, [&] { return WrittenBytes >= Bytes; }))
      throw std::runtime_error("not all was written");
  }

  bool empty() {
    std::lock_guard Lock(Mutex);
    return Requests.empty();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<taken_request> Requests;
  std::size_t WrittenBytes = 0;
  std::size_t GoneCallers = 0;
};

/// Longer than a test waits for bytes.
constexpr milliseconds Never{60'000};

struct front_fixture {
  explicit front_fixture(milliseconds ReceiveTimeout = 300ms) {
    front_end_settings Settings;
    Settings.Address = "127.0.0.1";
    Settings.Limits = {4'096, 100'000};
    Settings.HeadTimeout = Never;
    Settings.ReceiveTimeout = ReceiveTimeout;
    Front = valueOf(front_end<holding_sink>::create(Settings, Sink, Memory));
    REQUIRE(Front->start());
  }

  raw_connection connect(int ReceiveBuffer = 0) const {
    return raw_connection::to(Front->port(), ReceiveBuffer);
  }

  void answer(const response_handle &ResponseHandle, std::string Body) {
    postResponse(*Front, ResponseHandle, response_head{}, std::move(Body));
  }

  holding_sink Sink;
  memory_budget Memory{150'000};
  std::unique_ptr<front_end<holding_sink>> Front;
};

struct patient_front : front_fixture {
  patient_front() : front_fixture(Never) {}
};

bool hasBody(const std::string &Answer, std::string_view Body) {
  return Answer.ends_with("\r\n\r\n" + std::string(Body));
}

} // namespace

TEST_CASE_METHOD(front_fixture,
                 "two requests in one packet are both answered") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  taken_request First = Sink.take();
  CHECK(First.Request.Frame.Target == "/1");
  answer(First.ResponseHandle, "one");
  CHECK(hasBody(Caller.readAnswer(), "one"));
  taken_request Second = Sink.take();
  CHECK(Second.Request.Frame.Target == "/2");
  answer(Second.ResponseHandle, "two");
  CHECK(hasBody(Caller.readAnswer(), "two"));
}

TEST_CASE_METHOD(front_fixture,
                 "a second request never gets the first one's answer") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\n");
  taken_request First = Sink.take();
  Caller.send("GET /2 HTTP/1.1\r\n\r\n");
  // An answer to a request that has not begun is dropped.
  response_handle Early = First.ResponseHandle;
  ++Early.Sequence;
  answer(Early, "early");
  answer(First.ResponseHandle, "one");
  CHECK(hasBody(Caller.readAnswer(), "one"));
  taken_request Second = Sink.take();
  // So is a second answer to the first one.
  answer(First.ResponseHandle, "late");
  answer(Second.ResponseHandle, "two");
  CHECK(hasBody(Caller.readAnswer(), "two"));
}

TEST_CASE_METHOD(front_fixture,
                 "a late answer does not meet a new caller under the same "
                 "descriptor number") {
  for (std::size_t Round = 1; Round <= 50; ++Round) {
    raw_connection Gone = connect();
    Gone.send("GET /gone HTTP/1.1\r\n\r\n");
    taken_request Late = Sink.take();
    Gone.closeNow();
    Sink.awaitGone(Round);
    raw_connection Caller = connect();
    Caller.send("GET /new HTTP/1.1\r\n\r\n");
    taken_request Own = Sink.take();
    answer(Late.ResponseHandle, "for the one who has gone");
    answer(Own.ResponseHandle, "own");
    CHECK(hasBody(Caller.readAnswer(), "own"));
  }
}

TEST_CASE_METHOD(front_fixture,
                 "a write that is under way when its caller leaves does not "
                 "meet a new one") {
  for (int Round = 0; Round < 50; ++Round) {
    raw_connection Gone = connect();
    Gone.send("GET /gone HTTP/1.1\r\n\r\n");
    taken_request Late = Sink.take();
    answer(Late.ResponseHandle, std::string(50'000, 'x'));
    Gone.closeNow();
    raw_connection Caller = connect();
    Caller.send("GET /new HTTP/1.1\r\n\r\n");
    answer(Sink.take().ResponseHandle, "own");
    CHECK(hasBody(Caller.readAnswer(), "own"));
  }
}

TEST_CASE_METHOD(front_fixture, "what is no clear request is refused, and the "
                                "others go on") {
  struct row {
    const char *Bytes;
    const char *Status;
  };
  const row Rows[]{
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "411"},
      {"POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n", "413"},
      {"BREW / HTTP/1.1\r\n\r\n", "405"},
      {"nonsense\r\n\r\n", "400"},
      {"\x16\x03\x01\x02\r\n\r\n", "400"},
  };
  raw_connection Other = connect();
  Other.send("GET /other HTTP/1.1\r\n\r\n");
  taken_request Waiting = Sink.take();
  for (const row &Row : Rows) {
    INFO(Row.Bytes);
    raw_connection Caller = connect();
    Caller.send(Row.Bytes);
    std::string Answer = Caller.readAll();
    CHECK(Answer.starts_with("HTTP/1.1 " + std::string(Row.Status)));
    CHECK(Answer.find("Endiverail-Outcome: not-run") != std::string::npos);
    // Exactly one answer.
    CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(Sink.empty());
  answer(Waiting.ResponseHandle, "fine");
  CHECK(hasBody(Other.readAnswer(), "fine"));
}

TEST_CASE_METHOD(front_fixture, "an oversize head is refused") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x'));
  CHECK(Caller.readAll().starts_with("HTTP/1.1 431"));
}

TEST_CASE_METHOD(front_fixture, "a slow sender is told and closed") {
  raw_connection Caller = connect();
  Caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab");
  CHECK(Caller.readAll().starts_with("HTTP/1.1 408"));
  CHECK(Sink.empty());
}

TEST_CASE_METHOD(front_fixture, "a caller who says nothing is closed") {
  raw_connection Caller = connect();
  CHECK(Caller.readAll().empty());
}

TEST_CASE_METHOD(front_fixture, "HTTP/1.1 keeps the connection by default") {
  raw_connection Caller = connect();
  for (int Count = 0; Count < 3; ++Count) {
    Caller.send("GET / HTTP/1.1\r\n\r\n");
    answer(Sink.take().ResponseHandle, "x");
    CHECK(Caller.readAnswer().find("Connection: keep-alive") !=
          std::string::npos);
  }
  Caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  answer(Sink.take().ResponseHandle, "x");
  CHECK(hasBody(Caller.readAll(), "x"));
}

TEST_CASE_METHOD(front_fixture, "a body is asked for where the caller waits") {
  raw_connection Caller = connect();
  Caller.send("POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: "
              "100-continue\r\n\r\n");
  CHECK(Caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  Caller.send("ab");
  taken_request Taken = Sink.take();
  CHECK(Taken.Request.Body == "ab");
  answer(Taken.ResponseHandle, "x");
  CHECK(hasBody(Caller.readAnswer(), "x"));
}

TEST_CASE_METHOD(front_fixture, "bodies beyond the memory limit are refused "
                                "before they come") {
  raw_connection First = connect();
  First.send("POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" +
             std::string(90'000, 'x'));
  taken_request Held = Sink.take();
  raw_connection Second = connect();
  Second.send("POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n");
  std::string Refused = Second.readAll();
  CHECK(Refused.starts_with("HTTP/1.1 503"));
  CHECK(Refused.find("memory-limit") != std::string::npos);
  answer(Held.ResponseHandle, "x");
  First.readAnswer();
  raw_connection Third = connect();
  Third.send("POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" +
             std::string(90'000, 'x'));
  answer(Sink.take().ResponseHandle, "x");
  CHECK(hasBody(Third.readAnswer(), "x"));
}

TEST_CASE_METHOD(front_fixture, "a caller that stalls holds only its own") {
  constexpr std::size_t PieceBytes = 256 * 1024;
  constexpr std::size_t Pieces = 64;
  raw_connection Stalled = connect(8'192);
  Stalled.send("GET /big HTTP/1.1\r\n\r\n");
  response_handle Big = Sink.take().ResponseHandle;
  response_head Head;
  Head.Length = PieceBytes * Pieces;
  Front->post(response_begin{Big, Head});
  for (std::size_t Count = 0; Count < Pieces; ++Count)
    Front->post(response_data{Big, std::string(PieceBytes, 'x')});
  Front->post(response_end{Big});
  raw_connection Other = connect();
  Other.send("GET / HTTP/1.1\r\n\r\n");
  answer(Sink.take().ResponseHandle, "fine");
  CHECK(hasBody(Other.readAnswer(), "fine"));
  Stalled.readUntil("\r\n\r\n");
  CHECK(Stalled.read(PieceBytes * Pieces).size() == PieceBytes * Pieces);
  Sink.awaitWritten(PieceBytes * Pieces);
}

TEST_CASE_METHOD(front_fixture, "an answer of unknown length comes in chunks") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.take().ResponseHandle;
  Front->post(response_begin{ResponseHandle, {}});
  Front->post(response_data{ResponseHandle, "abc"});
  Front->post(response_end{ResponseHandle});
  CHECK(Caller.readUntil("0\r\n\r\n").ends_with("3\r\nabc\r\n0\r\n\r\n"));
}

TEST_CASE_METHOD(front_fixture, "an answer that breaks is seen as broken") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.take().ResponseHandle;
  Front->post(response_begin{ResponseHandle, {}});
  Front->post(response_data{ResponseHandle, "abc"});
  Sink.awaitWritten(3);
  Front->post(response_abort{ResponseHandle});
  CHECK(Caller.readAll().ends_with("3\r\nabc\r\n"));
}

TEST_CASE_METHOD(front_fixture, "an answer shorter than its length does not "
                                "take the next one for its rest") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  response_handle First = Sink.take().ResponseHandle;
  response_head Head;
  Head.Length = 10;
  Front->post(response_begin{First, Head});
  Front->post(response_data{First, "abc"});
  Front->post(response_end{First});
  CHECK(hasBody(Caller.readAll(), "abc"));
  CHECK(Sink.empty());
}

TEST_CASE_METHOD(front_fixture, "an answer longer than its length does not "
                                "reach into the next one") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  response_handle First = Sink.take().ResponseHandle;
  response_head Head;
  Head.Length = 3;
  Front->post(response_begin{First, Head});
  Front->post(response_data{First, "abc"});
  Front->post(response_data{First, "def"});
  Front->post(response_end{First});
  CHECK(hasBody(Caller.readAll(), "abc"));
  CHECK(Sink.empty());
}

TEST_CASE_METHOD(front_fixture, "a second head for a request does not become "
                                "the body of the first") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.take().ResponseHandle;
  response_head Head;
  Head.Length = 1'000;
  Front->post(response_begin{ResponseHandle, Head});
  Front->post(response_data{ResponseHandle, "abc"});
  answer(ResponseHandle, "second");
  CHECK(hasBody(Caller.readAll(), "abc"));
}

TEST_CASE_METHOD(front_fixture, "an end without a head does not leave the next "
                                "answer to the request") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  Front->post(response_end{Sink.take().ResponseHandle});
  CHECK(Caller.readAll().empty());
  CHECK(Sink.empty());
}

TEST_CASE_METHOD(front_fixture, "a piece without a head is not written") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  Front->post(response_data{Sink.take().ResponseHandle, "abc"});
  CHECK(Caller.readAll().empty());
}

TEST_CASE_METHOD(front_fixture, "an empty piece does not end a chunked "
                                "answer") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.take().ResponseHandle;
  Front->post(response_begin{ResponseHandle, {}});
  Front->post(response_data{ResponseHandle, "abc"});
  Front->post(response_data{ResponseHandle, ""});
  Front->post(response_data{ResponseHandle, "def"});
  Front->post(response_end{ResponseHandle});
  CHECK(Caller.readUntil("0\r\n\r\n")
            .ends_with("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"));
}

TEST_CASE_METHOD(front_fixture, "an answer without a body leaves no bytes in "
                                "front of the next one") {
  struct row {
    std::string Method;
    int Status;
    std::optional<std::uint64_t> Length;
    std::string Body;
  };
  auto Row =
      GENERATE(row{"GET", 204, std::nullopt, ""},
               row{"GET", 204, std::nullopt, "abc"}, row{"GET", 204, 3, "abc"},
               row{"GET", 304, std::nullopt, ""}, row{"GET", 304, 3, "abc"},
               row{"GET", 304, 3, ""}, row{"HEAD", 200, std::nullopt, ""},
               row{"HEAD", 200, 3, ""}, row{"HEAD", 200, 3, "abc"});
  CAPTURE(Row.Method, Row.Status, Row.Length.has_value(), Row.Body);
  raw_connection Caller = connect();
  Caller.send(Row.Method + " /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  response_handle First = Sink.take().ResponseHandle;
  response_head Head;
  Head.Status = Row.Status;
  Head.Length = Row.Length;
  Front->post(response_begin{First, Head});
  if (!Row.Body.empty())
    Front->post(response_data{First, Row.Body});
  Front->post(response_end{First});
  CHECK(Caller.readUntil("\r\n\r\n")
            .starts_with("HTTP/1.1 " + std::to_string(Row.Status)));
  answer(Sink.take().ResponseHandle, "next");
  std::string Next = Caller.readAnswer();
  CHECK(Next.starts_with("HTTP/1.1 200"));
  CHECK(hasBody(Next, "next"));
}

TEST_CASE_METHOD(front_fixture, "unsent bytes of a caller who leaves do not "
                                "meet a new one") {
  for (std::size_t Round = 1; Round <= 20; ++Round) {
    raw_connection Gone = connect(4'096);
    Gone.send("GET /gone HTTP/1.1\r\n\r\n");
    response_handle Late = Sink.take().ResponseHandle;
    response_head Head;
    Head.Length = 16'000'000;
    Front->post(response_begin{Late, Head});
    Front->post(response_data{Late, std::string(15'000'000, 'x')});
    Gone.readUntil("\r\n\r\n");
    Gone.closeNow();
    raw_connection Caller = connect();
    Caller.send("GET /new HTTP/1.1\r\n\r\n");
    response_handle Own = Sink.take().ResponseHandle;
    Front->post(response_data{Late, std::string(1'000'000, 'x')});
    Front->post(response_end{Late});
    answer(Own, "own");
    CHECK(hasBody(Caller.readAnswer(), "own"));
  }
}

TEST_CASE_METHOD(front_fixture, "a body is asked for after the answer before "
                                "it") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: "
              "2\r\nExpect: 100-continue\r\n\r\n");
  answer(Sink.take().ResponseHandle, "one");
  CHECK(hasBody(Caller.readAnswer(), "one"));
  CHECK(Caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  Caller.send("ab");
  answer(Sink.take().ResponseHandle, "two");
  CHECK(hasBody(Caller.readAnswer(), "two"));
}

TEST_CASE_METHOD(front_fixture, "a request behind the last answer before the "
                                "end gets none") {
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  response_handle First = Sink.take().ResponseHandle;
  CHECK_FALSE(Front->closeWhenIdle(50ms));
  answer(First, "one");
  CHECK(hasBody(Caller.readAll(), "one"));
  CHECK(Sink.empty());
}

TEST_CASE_METHOD(front_fixture, "HEAD gets a head only") {
  raw_connection Caller = connect();
  Caller.send("HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.take().ResponseHandle;
  response_head Head;
  Head.Length = 5;
  Front->post(response_begin{ResponseHandle, Head});
  Front->post(response_end{ResponseHandle});
  CHECK(Caller.readUntil("\r\n\r\n").find("Content-Length: 5") !=
        std::string::npos);
  answer(Sink.take().ResponseHandle, "next");
  CHECK(hasBody(Caller.readAnswer(), "next"));
}

TEST_CASE_METHOD(front_fixture, "a caller that leaves is noticed") {
  raw_connection Caller = connect();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  Sink.take();
  Caller.closeNow();
  Sink.awaitGone(1);
}

TEST_CASE("an address that is taken is a mistake of the settings") {
  front_fixture Fixture;
  holding_sink Sink;
  memory_budget Memory{1'000};
  front_end_settings Settings;
  Settings.Address = "127.0.0.1";
  Settings.Port = Fixture.Front->port();
  auto Second =
      valueOf(front_end<holding_sink>::create(Settings, Sink, Memory));
  CHECK(failureOf([&] { return Second->start(); }) == error_kind::BadSettings);
}

TEST_CASE_METHOD(patient_front, "new limits hold for what comes after them") {
  raw_connection Idle = connect();
  Idle.send("GET /1 HTTP/1.1\r\n\r\n");
  answer(Sink.take().ResponseHandle, "one");
  Idle.readAnswer();
  Front->setLimits({200, 1'000, 300ms, 100ms});
  // An answer that follows the limits has passed through the same mailbox.
  Idle.send("GET /2 HTTP/1.1\r\n\r\n");
  answer(Sink.take().ResponseHandle, "two");
  Idle.readAnswer();
  SECTION("an idle connection is closed") { CHECK(Idle.readAll().empty()); }
  SECTION("a longer head is refused") {
    raw_connection Caller = connect();
    Caller.send("GET /" + std::string(300, 'x') + " HTTP/1.1\r\n\r\n");
    CHECK(Caller.readAll().starts_with("HTTP/1.1 431"));
  }
  SECTION("a longer body is refused") {
    raw_connection Caller = connect();
    Caller.send("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
    CHECK(Caller.readAll().starts_with("HTTP/1.1 413"));
  }
  SECTION("a head that comes too slowly is refused") {
    raw_connection Caller = connect();
    Caller.send("GET / HT");
    CHECK(Caller.readAll().starts_with("HTTP/1.1 408"));
  }
}

namespace {

/// Holds up the connection thread at requests whose path begins with /hold,
/// until the test lets it go on.
class pausing_sink {
public:
  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    std::string Target = Request.Frame.Target;
    Requests.onRequest(ResponseHandle, std::move(Request));
    if (!Target.starts_with("/hold"))
      return 0;
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, 20s, [&] { return Passes > 0; });
    --Passes;
    return 0;
  }
  void onWritten(request_owner, const response_handle &, std::size_t) {}
  void onCallerGone(request_owner, const response_handle &) {}

  void letGoOn() {
    std::lock_guard Lock(Mutex);
    ++Passes;
    Changed.notify_all();
  }

  holding_sink Requests;

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int Passes = 0;
};

/// Long enough for the listening thread to accept a connection.
void awaitAccept() { std::this_thread::sleep_for(100ms); }

} // namespace

// Pistache queues writes by descriptor number and closes the descriptor of a
// caller that leaves before it empties that queue.
TEST_CASE("an answer to a caller that leaves goes to nobody who comes next") {
  pausing_sink Sink;
  memory_budget Memory{150'000};
  front_end_settings Settings;
  Settings.Address = "127.0.0.1";
  Settings.Limits = {4'096, 100'000};
  auto Front = valueOf(front_end<pausing_sink>::create(Settings, Sink, Memory));
  REQUIRE(Front->start());
  auto Connect = [&] { return raw_connection::to(Front->port()); };
  // Kept for the caller's end of the last connection, so that its other end
  // gets the number that the leaving caller's had.
  int LowNumber = dup(STDERR_FILENO);
  raw_connection First = Connect();
  raw_connection Second = Connect();
  raw_connection Leaving = Connect();
  Leaving.send("GET /leaving HTTP/1.1\r\n\r\n");
  response_handle ResponseHandle = Sink.Requests.take().ResponseHandle;
  First.send("GET /hold/1 HTTP/1.1\r\n\r\n");
  Sink.Requests.take();
  // The thread meets these events together, in this order.
  postResponse(*Front, ResponseHandle, response_head{},
               "for the one who leaves");
  Leaving.closeNow();
  Second.send("GET /hold/2 HTTP/1.1\r\n\r\n");
  raw_connection Third = Connect();
  awaitAccept();
  Sink.letGoOn();
  Sink.Requests.take();
  close(LowNumber);
  raw_connection Next = Connect();
  awaitAccept();
  Sink.letGoOn();

  Next.send("GET /next HTTP/1.1\r\n\r\n");
  taken_request Request = Sink.Requests.take();
  CHECK(Request.Request.Frame.Target == "/next");
  postResponse(*Front, Request.ResponseHandle, response_head{}, "for the next");
  CHECK(hasBody(Next.readAnswer(), "for the next"));
}

TEST_CASE_METHOD(front_fixture,
                 "a refused connection that its caller keeps open is closed, "
                 "also while others wait for longer") {
  raw_connection Idle = connect();
  Idle.send("GET / HTTP/1.1\r\n\r\n");
  answer(Sink.take().ResponseHandle, "own");
  CHECK(hasBody(Idle.readAnswer(), "own"));
  raw_connection Slow = connect();
  Slow.send("GET / HT");
  CHECK(Slow.readAll().starts_with("HTTP/1.1 408"));
  steady_time Until = steadyNow() + 5s;
  while (Front->connections() > 1 && steadyNow() < Until)
    std::this_thread::sleep_for(10ms);
  CHECK(Front->connections() == 1);
}

TEST_CASE_METHOD(patient_front, "an interim response is not logged as the end "
                                "of the answer before it") {
  event_capture Log;
  raw_connection Caller = connect();
  Caller.send("GET /1 HTTP/1.1\r\n\r\n");
  answer(Sink.take().ResponseHandle, "one");
  CHECK(hasBody(Caller.readAnswer(), "one"));
  Caller.send("POST /2 HTTP/1.1\r\nContent-Length: 1\r\nExpect: "
              "100-continue\r\n\r\n");
  CHECK(Caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
  Caller.send("x");
  answer(Sink.take().ResponseHandle, "two");
  std::string Answer = Caller.readAnswer();
  CHECK(hasBody(Answer, "two"));
  Front->shutdown();
  auto Written = Log.lines("response_written");
  REQUIRE(Written.size() == 2);
  CHECK(Written[1]["bytes"] == Answer.size());
}

TEST_CASE("a connection that comes while another one is taken over is served "
          "without a third") {
  auto ServePairs = [](patient_front &Fixture) {
    constexpr int Pairs = 10'000;
    for (int Pair = 0; Pair < Pairs; ++Pair) {
      raw_connection First = Fixture.connect();
      raw_connection Second = Fixture.connect();
      Second.send("GET / HTTP/1.1\r\n\r\n");
      Fixture.answer(Fixture.Sink.take().ResponseHandle, "own");
      if (!hasBody(Second.readAnswer(), "own"))
        throw std::runtime_error("not its own answer");
    }
  };
  std::array<patient_front, 4> Fixtures;
  std::vector<std::future<void>> Served;
  for (patient_front &Fixture : Fixtures)
    Served.push_back(
        std::async(std::launch::async, ServePairs, std::ref(Fixture)));
  for (std::future<void> &Each : Served)
    CHECK_NOTHROW(Each.get());
}
