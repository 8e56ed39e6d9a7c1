#include "late_daemons.h"

#include <catch2/catch.hpp>

#include <span>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a daemon that stops receiving datagrams learns in time that a "
          "server is leaving or removed") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  deployment Fleet(Count);
  bool DropDatagrams = false;
  Fleet.DropsDatagram = [&](std::size_t Index) {
    return DropDatagrams && Index == Fleet.NonReader;
  };
  std::size_t Withdrawn = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Removed ? "gone" : "leaving"));
    Fleet.advance(Phase);
    DropDatagrams = true;
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(PropagationBound);
    CHECK(lateDaemons(Fleet, Count, Withdrawn).empty());
    DropDatagrams = false;
    Fleet.advance(4s - Phase);
  }
}

TEST_CASE("all daemons learn in time that a server is leaving or removed if "
          "the readers stop sending") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  milliseconds Phase = GENERATE(0ms, 100ms, 200ms, 300ms, 400ms);
  INFO(Count << " daemons, phase " << Phase.count() << " ms, "
             << (Removed ? "gone" : "leaving"));
  deployment Fleet(Count);
  Fleet.advance(Phase);
  std::vector<std::size_t> Readers = Fleet.readers();
  for (std::size_t Reader : Readers)
    Fleet.setPaused(Reader, true);
  Fleet.withdrawServer(0, Removed);
  Fleet.advance(PropagationBound);
  CHECK(lateDaemons(Fleet, Count, 1, Readers).empty());
}

TEST_CASE("a daemon learns in time that a server is leaving or removed if two "
          "readers are suspended and the third gets no response") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  deployment Fleet(Count);
  std::vector<std::size_t> Readers = Fleet.readers();
  Fleet.setPaused(Readers[0], true);
  Fleet.setPaused(Readers[1], true);
  Fleet.setStoreUnresponsive(Readers[2], true);
  Fleet.withdrawServer(0, Removed);
  Fleet.advance(PropagationBound);
  CHECK(lateDaemons(Fleet, Count, 1, std::span(Readers).first(2)).empty());
}

TEST_CASE("three seconds after an outage of the store, all daemons learn in "
          "time that a server is leaving or removed") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  INFO(Count << " daemons, " << (Removed ? "gone" : "leaving"));
  deployment Fleet(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setStoreUnresponsive(Index, true);
  Fleet.advance(9s);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setStoreUnresponsive(Index, false);
  Fleet.advance(3s);
  Fleet.withdrawServer(0, Removed);
  Fleet.advance(PropagationBound);
  CHECK(lateDaemons(Fleet, Count, 1).empty());
}

TEST_CASE("a daemon that missed the only statement about a new server queries "
          "a peer instead of the store") {
  deployment Fleet(44);
  bool DropDatagrams = false;
  Fleet.DropsDatagram = [&](std::size_t Index) {
    return DropDatagrams && Index == Fleet.NonReader;
  };
  std::size_t Calls = Fleet.callsOf(Fleet.NonReader);
  DropDatagrams = true;
  Fleet.announceServer("new", 1);
  for (int Step = 0;
       Step < 51 && Fleet.usableServersAt(0) == deployment::ServerCount; ++Step)
    Fleet.advance(10ms);
  REQUIRE(Fleet.usableServersAt(0) == deployment::ServerCount + 1);
  REQUIRE(Fleet.usableServersAt(Fleet.NonReader) == deployment::ServerCount);
  DropDatagrams = false;
  Fleet.advance(700ms);
  CHECK(Fleet.usableServersAt(Fleet.NonReader) == deployment::ServerCount + 1);
  CHECK(Fleet.callsOf(Fleet.NonReader) == Calls);
}
