#include "process/pool_scheduler.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct one_server_fixture {
  one_server_fixture() : Scheduler(Definition, 7) {
    Scheduler.configure(Definition, {&Server, 1}, Now);
  }

  static service_definition definition() {
    service_definition Service;
    Service.Name = Service.Pool = "s";
    Service.QueueLimit = {1000, 1000, 1000};
    return Service;
  }

  static backend_server server() {
    backend_server Server;
    Server.Address = "a";
    Server.Pool = "s";
    Server.Instance = "i-a";
    Server.Started = 1;
    Server.Slots = 6;
    return Server;
  }

  std::string place() {
    waiting_request Request;
    Request.Id = ++LastId;
    Request.Arrived = Now;
    Request.Target = 4s;
    Request.Deadline = Now + 5s;
    Request.UsualTime = 500ms;
    Scheduler.submit(std::move(Request), Now);
    auto Assignment = Scheduler.next(Now);
    return Assignment ? Assignment->Server : "";
  }

  service_definition Definition = definition();
  backend_server Server = server();
  steady_time Now{1h};
  pool_scheduler Scheduler;
  request_id LastId = 0;
};

} // namespace

TEST_CASE_METHOD(
    one_server_fixture,
    "a server that is listed again as ready is used again, also if "
    "a request was running there meanwhile") {
  REQUIRE(place() == "a");
  // Its entry has lapsed, which the traffic thread takes for leaving.
  Scheduler.markLeaving("a", Now);
  Scheduler.configure(Definition, {}, Now);
  Scheduler.configure(Definition, {&Server, 1}, Now);
  Now += 10s;
  CHECK(place() == "a");
}

TEST_CASE_METHOD(one_server_fixture,
                 "a server is used again also if a request found it leaving "
                 "after its entry had lapsed") {
  REQUIRE(place() == "a");
  Scheduler.configure(Definition, {}, Now);
  Scheduler.markLeaving("a", Now);
  Scheduler.configure(Definition, {&Server, 1}, Now);
  Now += 10s;
  CHECK(place() == "a");
}

TEST_CASE_METHOD(one_server_fixture,
                 "a pause that an earlier process of a server has asked for "
                 "does not bind the next one under the same instance") {
  auto Assigned = place();
  REQUIRE(Assigned == "a");
  Server.Started = 2;
  Scheduler.configure(Definition, {&Server, 1}, Now);
  // The answer of the earlier process comes now.
  Scheduler.pauseServer("a", "i-a", 1, 10s, Now);
  CHECK_FALSE(Scheduler.isPaused("a", Now));
}
