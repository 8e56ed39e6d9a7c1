#include "event_capture.h"
#include "failure_check.h"
#include "http/front_end.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

#include <future>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds BusyTime = 400ms;

/// Keeps the connection thread busy with requests for /busy, and hands out the
/// arrival of the request for /other.
class busy_sink {
public:
  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    if (Request.Frame.Target == "/busy") {
      Started.set_value(ResponseHandle);
      poll(nullptr, 0, static_cast<int>(BusyTime.count()));
    } else {
      Arrived.set_value(Request.Arrival);
    }
    return 0;
  }
  void onWritten(request_owner, const response_handle &, std::size_t) {}
  void onCallerGone(request_owner, const response_handle &) {}

  std::promise<response_handle> Started;
  std::promise<request_arrival> Arrived;
};

struct busy_front {
  busy_front() {
    front_end_settings Settings;
    Settings.Address = "127.0.0.1";
    Front = valueOf(front_end<busy_sink>::create(Settings, Sink, Memory));
    REQUIRE(Front->start());
  }

  busy_sink Sink;
  memory_budget Memory{150'000};
  std::unique_ptr<front_end<busy_sink>> Front;
};

} // namespace

TEST_CASE_METHOD(busy_front, "a request that waits unread behind others is "
                             "known to have arrived when it did") {
  raw_connection Busy = raw_connection::to(Front->port());
  raw_connection Other = raw_connection::to(Front->port());
  Busy.send("GET /busy HTTP/1.1\r\n\r\n");
  Sink.Started.get_future().get();
  steady_time Sent = steadyNow();
  Other.send("GET /other HTTP/1.1\r\n\r\n");
  auto Arrived = Sink.Arrived.get_future();
  REQUIRE(Arrived.wait_for(20s) == std::future_status::ready);
  request_arrival Arrival = Arrived.get();
  REQUIRE(steadyNow() - Sent > BusyTime / 2);
  CHECK(Arrival.At < Sent + BusyTime / 2);
  CHECK(Arrival.RoundTrip > 0us);
  CHECK(Arrival.RoundTrip < BusyTime);
}

TEST_CASE_METHOD(busy_front, "a request that comes in pieces has arrived with "
                             "the first of them") {
  raw_connection Other = raw_connection::to(Front->port());
  steady_time Sent = steadyNow();
  Other.send("GET /other HTTP");
  poll(nullptr, 0, static_cast<int>(BusyTime.count()));
  Other.send("/1.1\r\n\r\n");
  CHECK(Sink.Arrived.get_future().get().At < Sent + BusyTime / 2);
}

TEST_CASE_METHOD(busy_front, "a connection thread that takes answers late "
                             "writes a line") {
  event_capture Log;
  raw_connection Busy = raw_connection::to(Front->port());
  Busy.send("GET /busy HTTP/1.1\r\n\r\n");
  response_handle Handle = Sink.Started.get_future().get();
  postResponse(*Front, Handle, response_head{}, "late");
  CHECK(Busy.readAnswer().ends_with("late"));
  // Lines tell of seconds that have ended.
  poll(nullptr, 0, 1'000);
  raw_connection Next = raw_connection::to(Front->port());
  Next.send("GET /other HTTP/1.1\r\n\r\n");
  Sink.Arrived.get_future().get();
  Front->shutdown();
  auto Late = Log.lines("thread_late");
  REQUIRE(Late.size() == 1);
  CHECK(Late[0]["thread"] == "connection");
  CHECK(Late[0]["messages_ms"] >= BusyTime.count() / 2);
}
