#include "process/pool_scheduler.h"
#include "process/service_state.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

using state = service_state<pool_scheduler>;

attempt_target targetWith(std::size_t SlotsUsed) {
  attempt_target Target;
  Target.Server = "a";
  Target.SlotsUsed = SlotsUsed;
  Target.Slots = 6;
  return Target;
}

/// A server "a" that no request has reached for ten seconds.
struct idle_server_fixture {
  idle_server_fixture() {
    backend_server Server;
    Server.Address = "a";
    State.Scheduler.configure(service_definition{}, std::span(&Server, 1), Now);
    Now += 10s;
  }

  state State{service_definition{}, 1};
  steady_time Now{1h};
};

} // namespace

TEST_CASE("an error is classified by the time since the request's turn") {
  struct row {
    std::string What;
    std::size_t SlotsUsed;
    milliseconds Taken;
    attempt_signal Signal;
  };
  // The usual time is 400 ms, a quarter of the target time. A request with two
  // full rounds of slots ahead of it is queued for 800 ms.
  auto Row = GENERATE(
      row{"immediately", 3, 10ms, attempt_signal::Failed},
      row{"after the usual working time", 3, 400ms,
          attempt_signal::ErrorAfterWork},
      row{"at its turn", 18, 800ms, attempt_signal::Failed},
      row{"before its expected turn, as the requests ahead have failed, too",
          18, 300ms, attempt_signal::Failed},
      row{"after its turn and the usual working time", 18, 1'200ms,
          attempt_signal::ErrorAfterWork});
  INFO(Row.What);
  work_kind Kind;
  Kind.Name = "write";
  Kind.LatencyTarget = 1'600ms;
  state State(service_definition{}, 1);
  CHECK(State.signalOf(error_kind::BackendError, Kind,
                       targetWith(Row.SlotsUsed), Row.Taken) == Row.Signal);
}

TEST_CASE("slots that a lost proxy has reported become free") {
  state State(service_definition{}, 1);
  backend_server Server;
  Server.Address = "a";
  Server.Slots = 1;
  steady_time Now{1h};
  State.Scheduler.configure(service_definition{}, std::span(&Server, 1), Now);
  // The server has one slot, and a queue of three.
  server_work Work;
  Work.Server = "a";
  Work.InUse = 4;
  State.applyRemoteWork("lost", Work, Now);
  waiting_request Request;
  Request.Id = 1;
  Request.Arrived = Now;
  Request.Target = 40s;
  Request.Deadline = Now + 60s;
  Request.UsualTime = 500ms;
  State.Scheduler.submit(Request, Now);
  State.expireRemoteWork(Now);
  CHECK_FALSE(State.Scheduler.next(Now));
  Now += remote_slots::ReportLifetime + 100ms;
  State.expireRemoteWork(Now);
  CHECK(State.Scheduler.next(Now));
}

TEST_CASE_METHOD(idle_server_fixture,
                 "a server counts as used from the time at which a request has "
                 "reached it") {
  REQUIRE(State.Scheduler.isIdle("a", Now));
  server_work Work;
  Work.Server = "a";
  Work.InUse = Work.Accepted = 1;
  SECTION("more slots in use do not show an arrival") {
    Work.Accepted = 0;
    State.applyRemoteWork("other", Work, Now);
    CHECK(State.Scheduler.isIdle("a", Now));
  }
  SECTION("a late report") {
    Work.ReachedAgo = 400ms;
    State.applyRemoteWork("other", Work, Now);
    CHECK_FALSE(State.Scheduler.isIdle("a", Now + 900ms));
    CHECK(State.Scheduler.isIdle("a", Now + 1'450ms));
  }
}

TEST_CASE_METHOD(idle_server_fixture,
                 "the arrival of a request at an idle server is reported "
                 "immediately") {
  State.recordUse("a", Now);
  CHECK(State.Work.due(Now));
  State.Work.take("s", Now);
  Now += 10ms;
  State.recordReached("a", Now);
  CHECK(State.Work.due(Now));
  Now += 10ms;
  work_report Report = State.Work.take("s", Now);
  REQUIRE(Report.Servers.size() == 1);
  CHECK(Report.Servers[0].ReachedAgo == 10ms);
  State.recordReached("a", Now);
  CHECK_FALSE(State.Work.due(Now));
}

TEST_CASE("a queued request is not counted as accepted without an answer") {
  CHECK(state::mayAssumeAccepted(targetWith(6)));
  CHECK_FALSE(state::mayAssumeAccepted(targetWith(7)));
}
