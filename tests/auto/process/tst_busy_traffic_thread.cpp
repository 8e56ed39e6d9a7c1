#include "traffic_fixture.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// A traffic thread that needs time for each answer.
struct busy_fixture : shared_traffic_fixture {
  static constexpr milliseconds TimePerAnswer = 5ms;

  busy_fixture() {
    Responses.OnPost = [this] { Now += TimePerAnswer / 3; };
  }

  /// Posts a request whose caller waits no longer; it is answered at once.
  void postExpired() {
    caller_request Request;
    Request.Id = ++LastRequest;
    Request.ResponseHandle = {0, Request.Id, 1};
    Request.Method = "GET";
    Request.Target = "/s/late";
    Request.Service = Service;
    Request.Kind = Service->Definition.findKind("GET", "/s/late");
    Request.Arrival.At = Request.ReadAt = Request.Deadline = Now;
    Traffic->post(run_request{std::move(Request)});
  }

  /// One turn of the thread's event loop.
  void turn() {
    Traffic->onReady({Traffic->inboxDescriptor(), true, false}, Now);
    Traffic->onWake(Now);
  }
};

} // namespace

TEST_CASE("a request that waits for a server is refused as early as on a quiet "
          "thread though many new ones come") {
  constexpr std::size_t NewRequests = 400;
  auto TimeToRefusal = [](busy_fixture &Fixture) {
    steady_time Sent = Fixture.Now;
    std::uint64_t Waiting = 1;
    while (!Fixture.response(Waiting).Ended && Fixture.Now < Sent + 10s) {
      Fixture.turn();
      Fixture.Now += 1ms;
    }
    return Fixture.Now - Sent;
  };
  auto Prepare = [](busy_fixture &Fixture) {
    Fixture.setConfirmed(false);
    Fixture.send("GET", "/s/1");
  };
  busy_fixture Quiet;
  Prepare(Quiet);
  auto Usual = TimeToRefusal(Quiet);
  busy_fixture Busy;
  Prepare(Busy);
  for (std::size_t Count = 0; Count < NewRequests; ++Count)
    Busy.postExpired();
  CHECK(TimeToRefusal(Busy) < Usual + 50ms);
  while (Busy.Responses.Responses.size() <= NewRequests)
    Busy.turn();
  CHECK(Busy.Responses.Responses.size() == NewRequests + 1);
}

TEST_CASE_METHOD(busy_fixture, "messages that are left for a next turn wake "
                               "the thread at once") {
  for (int Count = 0; Count < 100; ++Count)
    postExpired();
  while (Responses.Responses.size() < 100) {
    turn();
    if (Responses.Responses.size() < 100)
      REQUIRE(Traffic->nextWake().value_or(Now + 1h) <= Now);
  }
}

TEST_CASE_METHOD(busy_fixture, "reports of other proxies that have waited for "
                               "too long are dropped") {
  bool IsOld = GENERATE(false, true);
  Traffic->post(peer_work{"other", {"s", {{"a", 1}}}});
  // Mailboxes stamp messages by the machine's clock.
  Now = steadyNow() + (IsOld ? 1'000ms : 0ms);
  turn();
  bool Dropped =
      Metrics.text().find("dropped_reports_total") != std::string::npos;
  CHECK(Dropped == IsOld);
}
