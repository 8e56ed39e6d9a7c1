#include "late_daemons.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a daemon whose datagrams were late, and then lost, sends no request "
          "to a server that has left") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  deployment Fleet(Count);
  bool Lost = false;
  Fleet.Loses = [&](std::size_t Index) {
    return Lost && Index == Fleet.Affected;
  };
  std::size_t Left = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Removed ? "gone" : "leaving"));
    Fleet.setStarved(Fleet.Affected, ThreadDelay);
    Fleet.setDelay(Fleet.Affected, LinkDelay);
    Fleet.pass(5s + Phase);
    Lost = true;
    Fleet.endWork(Left++, Removed);
    Fleet.pass(UnusedWithin);
    CHECK_FALSE(Fleet.mayGetWork(Fleet.Affected, deployment::id(Left - 1)));
    Fleet.setDelay(Fleet.Affected, 0ms);
    Lost = false;
  }
}

TEST_CASE("a daemon whose connection to the store is silent and that no "
          "datagram reaches sends no request to a server that has left",
          "[silent_connection]") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  bool Reader = GENERATE(false, true);
  deployment Fleet(Count);
  std::size_t Index = Reader ? Fleet.readers().front() : Fleet.Affected;
  bool Lost = false;
  Fleet.Loses = [&](std::size_t To) { return Lost && To == Index; };
  std::size_t Left = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Removed ? "gone" : "leaving")
               << (Reader ? " at a reader" : ""));
    Fleet.pass(4s + Phase);
    Lost = true;
    Fleet.setKeptConnectionSilent(Index, true);
    Fleet.endWork(Left++, Removed);
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
  bool Removed = GENERATE(false, true);
  deployment Fleet(44);
  Fleet.setStarved(Fleet.Affected, 3s);
  Fleet.endWork(0, Removed);
  Fleet.pass(UnusedWithin);
  for (milliseconds Later = UnusedWithin; Later < 6s; Later += 100ms) {
    INFO(Later.count() << " ms, " << (Removed ? "gone" : "leaving"));
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
