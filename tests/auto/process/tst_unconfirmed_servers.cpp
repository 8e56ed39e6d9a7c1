#include "late_daemons.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a daemon whose datagrams were late, and then lost, sends no request "
          "to a server that has left") {
  std::size_t Count = GENERATE(44, 111);
  bool Gone = GENERATE(false, true);
  deployment Fleet(Count);
  bool Lost = false;
  Fleet.Loses = [&](std::size_t Index) {
    return Lost && Index == Fleet.Affected;
  };
  std::size_t Left = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Gone ? "gone" : "leaving"));
    Fleet.setStarved(Fleet.Affected, ThreadDelay);
    Fleet.setDelay(Fleet.Affected, LinkDelay);
    Fleet.pass(5s + Phase);
    Lost = true;
    Fleet.endWork(Left++, Gone);
    Fleet.pass(UnusedWithin);
    CHECK_FALSE(Fleet.mayGetWork(Fleet.Affected, deployment::id(Left - 1)));
    Fleet.setDelay(Fleet.Affected, 0ms);
    Lost = false;
  }
}

TEST_CASE("a daemon whose connection to the store is silent and that no "
          "datagram reaches sends no request to a server that has left") {
  std::size_t Count = GENERATE(44, 111);
  bool Gone = GENERATE(false, true);
  bool Reader = GENERATE(false, true);
  deployment Fleet(Count);
  std::size_t Index = Reader ? Fleet.readers().front() : Fleet.Affected;
  bool Lost = false;
  Fleet.Loses = [&](std::size_t To) { return Lost && To == Index; };
  std::size_t Left = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Gone ? "gone" : "leaving")
               << (Reader ? " at a reader" : ""));
    Fleet.pass(4s + Phase);
    Lost = true;
    Fleet.setKeptConnectionSilent(Index, true);
    Fleet.endWork(Left++, Gone);
    Fleet.pass(UnusedWithin);
    CHECK_FALSE(Fleet.mayGetWork(Index, deployment::id(Left - 1)));
    // It has read the store on another connection by then.
    Fleet.pass(LeavingBound - UnusedWithin);
    CHECK(Fleet.usableAt(Index) == deployment::ServerCount - Left);
    Fleet.setKeptConnectionSilent(Index, false);
    Lost = false;
  }
}

TEST_CASE("a daemon whose control thread stands still sends no request to a "
          "server that has left") {
  bool Gone = GENERATE(false, true);
  deployment Fleet(44);
  Fleet.setStarved(Fleet.Affected, 3s);
  Fleet.endWork(0, Gone);
  Fleet.pass(UnusedWithin);
  for (milliseconds Later = UnusedWithin; Later < 6s; Later += 100ms) {
    INFO(Later.count() << " ms, " << (Gone ? "gone" : "leaving"));
    CHECK_FALSE(Fleet.mayGetWork(Fleet.Affected, deployment::id(0)));
    Fleet.pass(100ms);
  }
}

TEST_CASE("a daemon that stood still does not take a server that has left for "
          "one whose entry has lapsed") {
  std::size_t Count = GENERATE(44, 111);
  deployment Fleet(Count);
  Fleet.Loses = [&](std::size_t Index) { return Index == Fleet.Affected; };
  Fleet.setStarved(Fleet.Affected, 2s);
  Fleet.pass(2s);
  Fleet.setStarved(Fleet.Affected, 0ms);
  Fleet.pass(500ms);
  Fleet.endWork(0, true);
  Fleet.pass(UnusedWithin);
  CHECK_FALSE(Fleet.mayGetWork(Fleet.Affected, deployment::id(0)));
}

TEST_CASE("once the store has been back for three seconds a daemon that no "
          "datagram reaches sends no request to a server that has left") {
  std::size_t Count = GENERATE(44, 111);
  bool Gone = GENERATE(false, true);
  milliseconds Absence = GENERATE(2s, 3s, 9s);
  milliseconds Phase = GENERATE(0ms, 300ms, 600ms, 900ms, 1'200ms, 1'500ms);
  INFO(Count << " daemons, away for " << (Absence + Phase).count() << " ms, "
             << (Gone ? "gone" : "leaving"));
  deployment Fleet(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setUnanswered(Index, true);
  Fleet.pass(Absence + Phase);
  Fleet.Loses = [&](std::size_t Index) { return Index == Fleet.Affected; };
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setUnanswered(Index, false);
  Fleet.pass(3s);
  Fleet.endWork(0, Gone);
  Fleet.pass(UnusedWithin);
  CHECK_FALSE(Fleet.mayGetWork(Fleet.Affected, deployment::id(0)));
}

TEST_CASE("while the store is away for all no daemon holds requests back") {
  std::size_t Count = GENERATE(44, 111);
  bool Silent = GENERATE(false, true);
  INFO(Count << " daemons, " << (Silent ? "silent" : "refusing"));
  deployment Fleet(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Silent)
      Fleet.setUnanswered(Index, true);
    else
      Fleet.setReaches(Index, false);
  std::size_t Held = 0;
  for (milliseconds Time(0); Time < 9s; Time += 10ms) {
    Fleet.pass(10ms);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Held += Fleet.sendsRequests(Index) ? 0 : 1;
  }
  CHECK(Held == 0);
}

TEST_CASE("a daemon that starts while the store is silent sends requests as "
          "soon as a peer has told it of the servers and the store's silence "
          "shows") {
  deployment Fleet(44);
  for (std::size_t Index = 0; Index < 44; ++Index)
    Fleet.setUnanswered(Index, true);
  Fleet.pass(2s);
  Fleet.start(44);
  Fleet.setUnanswered(44, true);
  Fleet.pass(1s);
  CHECK(Fleet.usableAt(44) == deployment::ServerCount);
  CHECK(Fleet.sendsRequests(44));
}
