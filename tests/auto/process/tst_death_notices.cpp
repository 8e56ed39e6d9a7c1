#include "deployment.h"
#include "process/death_notices.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

using deaths = std::vector<server_death>;

server_death death(request_fingerprint Fingerprint, std::string Server) {
  return {"s", Fingerprint, std::move(Server)};
}

struct notices_fixture {
  death_notices Notices;
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(notices_fixture,
                 "the entries learn of a first death immediately") {
  Notices.onOwnDeath(death(1, "a"), Now);
  auto Batch = Notices.takeBatch(Now);
  REQUIRE(Batch);
  CHECK(Batch->ToEntries == deaths{death(1, "a")});
  CHECK(Batch->ToAll.empty());
  CHECK_FALSE(Notices.nextWake());
}

TEST_CASE_METHOD(notices_fixture,
                 "all daemons learn which request is in quarantine") {
  struct row {
    const char *What;
    bool FirstIsOwn;
    bool SecondIsOwn;
    bool SentToAll;
  };
  for (const row &Row :
       {row{"both deaths were seen here", true, true, true},
        row{"the second was seen here", false, true, true},
        row{"the first was seen here", true, false, true},
        row{"both were seen elsewhere", false, false, false}}) {
    INFO(Row.What);
    death_notices Seen;
    auto Record = [&](const server_death &Death, bool Own) {
      Own ? Seen.onOwnDeath(Death, Now) : Seen.onPeerDeath(Death, Now);
    };
    Record(death(1, "a"), Row.FirstIsOwn);
    Seen.takeBatch(Now);
    Record(death(1, "b"), Row.SecondIsOwn);
    auto Batch = Seen.takeBatch(Now + death_notices::BatchInterval);
    REQUIRE(Batch.has_value() == Row.SentToAll);
    if (Batch)
      CHECK(Batch->ToAll == deaths{death(1, "a"), death(1, "b")});
  }
}

TEST_CASE_METHOD(notices_fixture, "deaths are sent in batches") {
  std::size_t Batches = 0;
  std::size_t Deaths = 0;
  for (request_fingerprint Each = 0; Each < 100; ++Each) {
    Notices.onOwnDeath(death(Each, "a"), Now);
    if (auto Batch = Notices.takeBatch(Now)) {
      ++Batches;
      Deaths += Batch->ToEntries.size();
    }
    Now += 10ms;
  }
  CHECK(Batches == 2);
  REQUIRE(Notices.nextWake());
  Deaths += Notices.takeBatch(*Notices.nextWake())->ToEntries.size();
  CHECK(Deaths == 100);
}

TEST_CASE_METHOD(notices_fixture, "a batch and what waits for it are bounded") {
  for (request_fingerprint Each = 0; Each < 10'000; ++Each)
    Notices.onOwnDeath(death(Each, "a"), Now);
  std::size_t Deaths = 0;
  while (auto Batch = Notices.takeBatch(Now)) {
    CHECK(Batch->ToEntries.size() <= death_notices::MaxDeaths);
    Deaths += Batch->ToEntries.size();
    Now += death_notices::BatchInterval;
  }
  CHECK(Deaths <= 1'000);
}

TEST_CASE("lost answers do not flood the fleet with death notices") {
  constexpr std::size_t Count = 111;
  deployment Fleet(Count);
  std::size_t Reporting = 40;
  std::size_t SentBefore = Fleet.deathDatagrams();
  for (int Step = 0; Step < 100; ++Step) {
    for (std::size_t Index = 0; Index < Reporting; ++Index)
      Fleet.reportDeath(Index, "i" + std::to_string(Step % 30) + ":1");
    Fleet.advance(10ms);
  }
  // Each daemon may send two batches per second and one at the start, each to
  // all others.
  CHECK(Fleet.deathDatagrams() - SentBefore <= Reporting * 3 * (Count - 1));
}
