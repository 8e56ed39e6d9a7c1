#include "deployment.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// A request that was placed in time may still wait for its connection.
constexpr milliseconds ConnectTime{300};

} // namespace

TEST_CASE("a daemon that is considered lost learns in time that a server is "
          "leaving or removed") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  deployment Fleet(Count);
  std::size_t Withdrawn = 0;
  // When the server announces that it is leaving, relative to the readers'
  // periodic reads.
  for (milliseconds Phase : {0ms, 100ms, 200ms, 300ms, 400ms}) {
    INFO(Count << " daemons, " << Phase.count() << " ms after a read, "
               << (Removed ? "gone" : "leaving"));
    Fleet.advance(Phase);
    Fleet.declareLost(Fleet.NonReader);
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(LeavingBound - ConnectTime);
    CHECK(Fleet.usableServersAt(Fleet.NonReader) ==
          deployment::ServerCount - Withdrawn);
    Fleet.advance(4s - LeavingBound + ConnectTime - Phase);
  }
}

TEST_CASE("a daemon that temporarily loses all datagrams learns in time that a "
          "server is leaving or removed") {
  std::size_t Count = GENERATE(44, 111);
  bool Removed = GENERATE(false, true);
  deployment Fleet(Count);
  steady_time DropUntil;
  Fleet.DropsDatagram = [&](std::size_t Index) {
    return Index == Fleet.NonReader && Fleet.now() < DropUntil;
  };
  std::size_t Withdrawn = 0;
  for (milliseconds Phase : {0ms, 100ms, 200ms, 300ms, 400ms}) {
    INFO(Count << " daemons, " << Phase.count() << " ms after a read, "
               << (Removed ? "gone" : "leaving"));
    Fleet.advance(Phase);
    // All readers have sent the statement once by then.
    DropUntil = Fleet.now() + 700ms;
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(LeavingBound - ConnectTime);
    CHECK(Fleet.usableServersAt(Fleet.NonReader) ==
          deployment::ServerCount - Withdrawn);
    Fleet.advance(4s - LeavingBound + ConnectTime - Phase);
  }
}

TEST_CASE("a request in quarantine is reported to a daemon that is considered "
          "lost") {
  deployment Fleet(44);
  Fleet.reportDeath(0, {"s", 7, "i1:1"});
  Fleet.advance(1s);
  Fleet.declareLost(Fleet.NonReader);
  std::set<endpoint_text> Told = Fleet.recipientsOf(0, {"s", 7, "i2:1"});
  CHECK(Told.size() == 43);
  CHECK(Told.contains(store_fleet::address(Fleet.NonReader)));
}
