#include "late_daemons.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a daemon whose datagrams are delayed, and then lost, sends no "
          "requests to a withdrawn server") {
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
    Fleet.setStarved(Fleet.NonReader, MaxThreadDelay);
    Fleet.setDelay(Fleet.NonReader, MaxLinkDelay);
    Fleet.advance(5s + Phase);
    DropDatagrams = true;
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(LastRequestBound);
    CHECK_FALSE(
        Fleet.maySendTo(Fleet.NonReader, deployment::id(Withdrawn - 1)));
    Fleet.setDelay(Fleet.NonReader, 0ms);
    DropDatagrams = false;
  }
}

TEST_CASE("a daemon whose connection to the store stopped responding and that "
          "receives no datagrams sends no requests to a withdrawn server",
          "[silent_connection]") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  bool Reader = GENERATE(false, true);
  deployment Fleet(Count);
  std::size_t Index = Reader ? Fleet.readers().front() : Fleet.NonReader;
  bool DropDatagrams = false;
  Fleet.DropsDatagram = [&](std::size_t To) {
    return DropDatagrams && To == Index;
  };
  std::size_t Withdrawn = 0;
  for (milliseconds Phase : {0ms, 150ms, 300ms, 450ms}) {
    INFO(Count << " daemons, phase " << Phase.count() << " ms, "
               << (Removed ? "gone" : "leaving")
               << (Reader ? " at a reader" : ""));
    Fleet.advance(4s + Phase);
    DropDatagrams = true;
    Fleet.setReusedConnectionSilent(Index, true);
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(LastRequestBound);
    CHECK_FALSE(Fleet.maySendTo(Index, deployment::id(Withdrawn - 1)));
    // The daemon has read the store on another connection by then.
    Fleet.advance(LeavingBound - LastRequestBound);
    CHECK(Fleet.usableServersAt(Index) == deployment::ServerCount - Withdrawn);
    Fleet.setReusedConnectionSilent(Index, false);
    DropDatagrams = false;
  }
}

TEST_CASE("a daemon whose control thread is suspended sends no requests to a "
          "withdrawn server") {
  bool Removed = GENERATE(false, true);
  deployment Fleet(44);
  Fleet.setStarved(Fleet.NonReader, 3s);
  Fleet.withdrawServer(0, Removed);
  Fleet.advance(LastRequestBound);
  for (milliseconds Later = LastRequestBound; Later < 6s; Later += 100ms) {
    INFO(Later.count() << " ms, " << (Removed ? "gone" : "leaving"));
    CHECK_FALSE(Fleet.maySendTo(Fleet.NonReader, deployment::id(0)));
    Fleet.advance(100ms);
  }
}

TEST_CASE("a daemon that was suspended doesn't mistake a removed server for "
          "one whose entry expired") {
  std::size_t Count = GENERATE(44, 111);
  deployment Fleet(Count);
  Fleet.DropsDatagram = [&](std::size_t Index) {
    return Index == Fleet.NonReader;
  };
  Fleet.setStarved(Fleet.NonReader, 2s);
  Fleet.advance(2s);
  Fleet.setStarved(Fleet.NonReader, 0ms);
  Fleet.advance(500ms);
  Fleet.withdrawServer(0, true);
  Fleet.advance(LastRequestBound);
  CHECK_FALSE(Fleet.maySendTo(Fleet.NonReader, deployment::id(0)));
}
