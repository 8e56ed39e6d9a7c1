#include "simulated_room.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

/// A scheduler without a server that has room, so that requests are queued.
struct full_pool {
  full_pool() {
    Definition.Name = Definition.Pool = "s";
    Definition.QueueLimit = {100, 100, 100};
    backend_server Server;
    Server.Address = "a";
    Server.Pool = "s";
    Server.Slots = 1;
    Scheduler.configure(Definition, std::span(&Server, 1), Now);
    Scheduler.setRemoteSlots("a", 100, Now);
  }

  std::optional<request_id> submit(std::string Organisation,
                                   std::optional<rank> OrganisationRank,
                                   rank Rank) {
    waiting_request Request;
    Request.Id = ++LastId;
    Request.Organisation = std::move(Organisation);
    Request.OrganisationRank = OrganisationRank;
    Request.Rank = Rank;
    Request.Arrived = Now;
    Request.Target = 4s;
    Request.Deadline = Now + 5s;
    Request.UsualTime = 200ms;
    return Scheduler.submit(std::move(Request), Now);
  }

  /// The requests in the order in which they start once there is room.
  std::vector<request_id> startAll() {
    Scheduler.setRemoteSlots("a", 0, Now);
    std::vector<request_id> Order;
    steady_time Time = Now;
    while (auto Assignment = Scheduler.next(Time)) {
      Order.push_back(Assignment->Request);
      Scheduler.release("a", rank::Normal, Time);
      Scheduler.observe("a", attempt_signal::Accepted, Time);
      Time += 100ms;
    }
    return Order;
  }

  service_definition Definition;
  pool_scheduler Scheduler{Definition, 1};
  request_id LastId = 0;
};

/// Nine organisations within their usual load and one that may send more.
room_load tenOrganisations(double Usual, double Surge) {
  room_load Load;
  for (int Index = 0; Index < 9; ++Index) {
    caller_group Group;
    Group.Organisation = "o" + std::to_string(Index);
    Group.OrganisationRank = rank::Normal;
    Group.Rate = Group.TroubleRate = Usual;
    Load.Groups.push_back(Group);
  }
  caller_group Flood = Load.Groups.front();
  Flood.Organisation = "flood";
  Flood.TroubleRate = Surge;
  Load.Groups.push_back(Flood);
  return Load;
}

/// Share of the requests of the organisations but the last that are answered in
/// time.
double othersInTime(const room_result &Result) {
  int Asked = 0;
  int InTime = 0;
  for (std::size_t Index = 0; Index + 1 < Result.Groups.size(); ++Index) {
    Asked += Result.Groups[Index].Asked;
    InTime += Result.Groups[Index].InTime;
  }
  return InTime / static_cast<double>(Asked);
}

} // namespace

TEST_CASE("the rank of the organisation goes before the rank of the work") {
  full_pool Pool;
  Pool.submit("b", rank::Normal, rank::Urgent);
  Pool.submit("c", rank::Background, rank::Urgent);
  Pool.submit("a", rank::Urgent, rank::Background);
  Pool.submit("a", rank::Urgent, rank::Urgent);
  CHECK(Pool.startAll() == std::vector<request_id>{4, 3, 1, 2});
}

TEST_CASE("without organisations the rank of the work decides") {
  full_pool Pool;
  Pool.submit("", std::nullopt, rank::Background);
  Pool.submit("", std::nullopt, rank::Normal);
  Pool.submit("", std::nullopt, rank::Urgent);
  CHECK(Pool.startAll() == std::vector<request_id>{3, 2, 1});
}

TEST_CASE("a request of a full organisation gives way to one of another") {
  full_pool Pool;
  while (!Pool.submit("flood", rank::Normal, rank::Normal))
    ;
  request_id LastQueued = Pool.LastId - 1;
  CHECK(Pool.submit("other", rank::Normal, rank::Normal) == LastQueued);
  CHECK(Pool.submit("flood", rank::Normal, rank::Normal) == Pool.LastId);
}

TEST_CASE("a less urgent request gives way when both can't be served in time") {
  full_pool Pool;
  while (!Pool.submit("", std::nullopt, rank::Background))
    ;
  request_id LastQueued = Pool.LastId - 1;
  CHECK(Pool.submit("", std::nullopt, rank::Urgent) == LastQueued);
}

TEST_CASE("an organisation that sends ten times its usual does not take the "
          "room of others") {
  // 120 slots answer 730 requests per second; 380 arrive usually, 722 with the
  // flood of one organisation, or 1,140 if it is a large one.
  for (auto [Usual, Surge] : {std::pair{38.0, 380.0}, {60.0, 600.0}}) {
    double Calm = othersInTime(simulateRoom(tenOrganisations(Usual, Usual)));
    double Flooded = othersInTime(simulateRoom(tenOrganisations(Usual, Surge)));
    CAPTURE(Usual, Surge, Calm, Flooded);
    CHECK(Flooded > Calm - 0.02);
  }
}

TEST_CASE("what an organisation sends beyond its share is refused at once") {
  room_result Result = simulateRoom(tenOrganisations(60, 600));
  const group_result &Flood = Result.Groups.back();
  CAPTURE(Flood.Asked, Flood.InTime, Flood.Late, Flood.Refused);
  CHECK(Flood.RefusedLate < 0.01 * Flood.Asked);
}
