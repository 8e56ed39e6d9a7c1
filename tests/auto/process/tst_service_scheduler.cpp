#include "process/service_scheduler.h"

#include <catch2/catch.hpp>

#include <map>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct scheduler_fixture {
  scheduler_fixture() { configure(2); }

  void configure(std::size_t ServerCount) {
    Servers.clear();
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      Servers.push_back(
          {std::string(1, static_cast<char>('a' + Index)), "s", "dc", {}});
    Scheduler.configure(Definition, Servers, Now);
  }

  static service_definition definition() {
    service_definition Service;
    Service.Name = "s";
    Service.PoolSize = 2;
    Service.SlotsPerServer = 6;
    Service.SharePercent = {50, 25, 10};
    Service.QueueLimit = {1000, 1000, 1000};
    return Service;
  }

  request_id add(rank Rank, bool Bulk = false, bool Idempotent = true) {
    waiting_request Request;
    Request.Id = ++LastId;
    Request.Rank = Rank;
    Request.Bulk = Bulk;
    Request.Idempotent = Idempotent;
    Request.Arrived = Now;
    Request.Target = 1s;
    Request.Deadline = Now + 10s;
    RankOf[Request.Id] = Rank;
    Scheduler.submit(Request, Now);
    return Request.Id;
  }

  void addMany(rank Rank, int Count, bool Bulk = false) {
    while (Count-- > 0)
      add(Rank, Bulk);
  }

  /// Starts all requests that can start; returns their number by rank.
  per_rank<std::size_t> startAll() {
    per_rank<std::size_t> Started{};
    while (auto Next = Scheduler.next(Now)) {
      ++Started[rankIndex(RankOf[Next->Request])];
      Running.push_back(*Next);
    }
    return Started;
  }

  service_definition Definition = definition();
  service_scheduler Scheduler{Definition, 1};
  std::vector<backend_server> Servers;
  steady_time Now{1h};
  request_id LastId = 0;
  std::map<request_id, rank> RankOf;
  std::vector<slot_assignment> Running;
};

constexpr auto Urgent = rank::Urgent;
constexpr auto Normal = rank::Normal;
constexpr auto Background = rank::Background;

} // namespace

TEST_CASE_METHOD(scheduler_fixture,
                 "no more requests run than there are slots") {
  addMany(Urgent, 100);
  CHECK(startAll() == per_rank<std::size_t>{12, 0, 0});
  CHECK(Scheduler.inUse() == 12);
  CHECK(Scheduler.waiting() == 88);
  Scheduler.release(Running[0].Server, Urgent, Now);
  CHECK(startAll() == per_rank<std::size_t>{1, 0, 0});
}

TEST_CASE_METHOD(scheduler_fixture,
                 "a flood of one rank leaves the other ranks their shares") {
  struct row {
    const char *What;
    per_rank<int> Waiting;
    per_rank<std::size_t> Started;
  };
  // 12 slots; shares of 50, 25 and 10 percent are 6, 3 and 2 slots.
  const row Rows[]{
      {"background flood", {3, 2, 100}, {3, 2, 7}},
      {"urgent flood", {100, 3, 2}, {7, 3, 2}},
      {"all flood", {100, 100, 100}, {7, 3, 2}},
      {"unused shares are available to other ranks", {0, 0, 100}, {0, 0, 12}},
      {"normal flood", {6, 100, 1}, {6, 5, 1}},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    scheduler_fixture Fixture;
    for (rank Rank : {Background, Normal, Urgent})
      Fixture.addMany(Rank, Row.Waiting[rankIndex(Rank)]);
    CHECK(Fixture.startAll() == Row.Started);
  }
}

TEST_CASE_METHOD(scheduler_fixture,
                 "bulk requests don't use the shares of more urgent ranks") {
  addMany(Background, 100, true);
  CHECK(startAll() == per_rank<std::size_t>{0, 0, 3});
  addMany(Urgent, 100);
  CHECK(startAll()[rankIndex(Urgent)] == 9);
}

TEST_CASE_METHOD(scheduler_fixture, "a suspected server is avoided") {
  // Two failures in separate periods are enough to suspect the server, but not
  // to eject it.
  for (int Count = 0; Count < 2; ++Count)
    Scheduler.observe("a", attempt_signal::Failed, Now + 200ms * Count);
  CHECK(Scheduler.ejectionCandidates().empty());
  addMany(Urgent, 6);
  startAll();
  std::size_t StartsOnSuspected = 0;
  for (const slot_assignment &Each : Running)
    StartsOnSuspected += Each.Server == "a";
  // One trial request; the others go to the healthy server.
  CHECK(StartsOnSuspected <= 1);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "only repeatable requests are used for trials") {
  Scheduler.setEjected("a", Now + 1h, Now);
  Now += 10min;
  for (int Count = 0; Count < 12; ++Count)
    add(Urgent, false, false);
  startAll();
  for (const slot_assignment &Each : Running)
    CHECK(Each.Server == "b");
  add(Urgent, false, true);
  startAll();
  CHECK(Running.size() == 6);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "an ejected server recovers by trials and warms up again") {
  Scheduler.setEjected("a", Now + 1h, Now);
  CHECK(Scheduler.capacity() == 6);
  Now += 2s;
  for (int Trial = 0; Trial < 3; ++Trial) {
    CHECK(Scheduler.recovered().empty());
    add(Urgent);
    Running.clear();
    startAll();
    REQUIRE(Running.size() == 1);
    REQUIRE(Running[0].Server == "a");
    Scheduler.observe("a", attempt_signal::Good, Now);
    Scheduler.release("a", Urgent, Now);
    Now += 2s;
  }
  CHECK(Scheduler.recovered() == std::vector<endpoint_text>{"a"});
  Scheduler.setEjected("a", std::nullopt, Now);
  CHECK(Scheduler.capacity() == 6 + 2);
}

TEST_CASE_METHOD(scheduler_fixture, "an ejection ends when its grant expires") {
  Scheduler.setEjected("a", Now + 1s, Now);
  CHECK(Scheduler.capacity() == 6);
  Scheduler.next(Now + 1s);
  CHECK(Scheduler.capacity() > 6);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "repeated ejections lengthen the trial interval") {
  auto IntervalOf = [&] {
    Scheduler.setEjected("a", Now + 1h, Now);
    auto Interval = *Scheduler.nextTrial() - Now;
    Scheduler.setEjected("a", std::nullopt, Now);
    return Interval;
  };
  auto First = IntervalOf();
  auto Second = IntervalOf();
  CHECK(Second > First);
  Now += 1h;
  CHECK(IntervalOf() == First);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "no server is ejected when the whole pool slows down") {
  configure(10);
  auto ObserveAll = [&](attempt_signal Signal, milliseconds Time) {
    for (milliseconds Passed = 0ms; Passed < Time; Passed += 100ms) {
      Now += 100ms;
      for (const backend_server &Server : Servers)
        Scheduler.observe(Server.Address, Signal, Now);
      CHECK(Scheduler.ejectionCandidates().empty());
    }
  };
  ObserveAll(attempt_signal::Good, 60s);
  ObserveAll(attempt_signal::Slow, 10s);
}

TEST_CASE_METHOD(scheduler_fixture, "a leaving server gets no new requests") {
  SECTION("by its own announcement") { Scheduler.markLeaving("a", Now); }
  SECTION("by the host list") {
    Servers[0].State = server_state::Leaving;
    Scheduler.configure(Definition, Servers, Now);
  }
  SECTION("by its own announcement, while the host list lags") {
    Scheduler.markLeaving("a", Now);
    Scheduler.configure(Definition, Servers, Now + 1s);
  }
  addMany(Urgent, 100);
  startAll();
  for (const slot_assignment &Each : Running)
    CHECK(Each.Server == "b");
}

TEST_CASE_METHOD(scheduler_fixture, "a new server warms up") {
  configure(3);
  CHECK(Scheduler.capacity() == 6 + 6 + 2);
  for (int Count = 0; Count < 30; ++Count)
    Scheduler.observe("c", attempt_signal::Good, Now);
  CHECK(Scheduler.capacity() == 18);
}

TEST_CASE_METHOD(scheduler_fixture, "shed answers lower the limit") {
  Scheduler.observe("a", attempt_signal::Shed, Now);
  CHECK(Scheduler.capacity() == 4 + 6);
  for (int Count = 0; Count < 50; ++Count)
    Scheduler.observe("a", attempt_signal::Shed, Now);
  CHECK(Scheduler.capacity() == 1 + 6);
  for (int Count = 0; Count < 50; ++Count)
    Scheduler.observe("a", attempt_signal::Good, Now);
  CHECK(Scheduler.capacity() == 12);
}

TEST_CASE_METHOD(scheduler_fixture, "late requests expire before they start") {
  request_id Late = add(Urgent);
  Now += 20s;
  auto Expired = Scheduler.takeExpired(Now);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Id == Late);
  CHECK_FALSE(Scheduler.next(Now));
}
