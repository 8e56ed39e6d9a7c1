#include "late_daemons.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// Withdraws a server three seconds after the end of an outage of the store.
/// Daemons that receive no datagrams have to notice by themselves that the
/// store is available again, whatever their current retry delay.
void withdrawAfterOutage(bool Removed) {
  std::size_t Count = GENERATE(44, 111);
  milliseconds Outage =
      GENERATE(2'000ms, 2'700ms, 3'000ms, 3'700ms, 9'000ms, 9'700ms);
  INFO(Count << " daemons, outage of " << Outage.count() << " ms, "
             << (Removed ? "gone" : "leaving"));
  deployment Fleet(Count);
  // Each of them has another delay between its calls.
  std::vector<bool> Isolated(Count);
  for (std::size_t Index = 0; Index < Count; Index += 3)
    Isolated[Index] = true;
  for (std::size_t Reader : Fleet.readers())
    Isolated[Reader] = false;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setStoreUnresponsive(Index, true);
  Fleet.advance(Outage);
  Fleet.DropsDatagram = [&](std::size_t Index) { return Isolated[Index]; };
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setStoreUnresponsive(Index, false);
  Fleet.advance(3s);
  Fleet.withdrawServer(0, Removed);
  Fleet.advance(LastRequestBound);
  std::vector<std::size_t> Late;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Isolated[Index] && Fleet.maySendTo(Index, deployment::id(0)))
      Late.push_back(Index);
  CHECK(std::ranges::count(Isolated, true) > 10);
  CHECK(Late == std::vector<std::size_t>{});
}

} // namespace

TEST_CASE("three seconds after an outage of the store, daemons that receive no "
          "datagrams send no requests to a server that is leaving",
          "[leaving]") {
  withdrawAfterOutage(false);
}

TEST_CASE("three seconds after an outage of the store, daemons that receive no "
          "datagrams send no requests to a server that was removed",
          "[gone]") {
  withdrawAfterOutage(true);
}

TEST_CASE(
    "no daemon withholds requests while the store is unavailable to all") {
  std::size_t Count = GENERATE(44, 111);
  bool Silent = GENERATE(false, true);
  INFO(Count << " daemons, " << (Silent ? "unresponsive" : "refusing"));
  deployment Fleet(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Silent)
      Fleet.setStoreUnresponsive(Index, true);
    else
      Fleet.setStoreReachable(Index, false);
  std::size_t BlockedCount = 0;
  for (milliseconds Time(0); Time < 9s; Time += 10ms) {
    Fleet.advance(10ms);
    for (std::size_t Index = 0; Index < Count; ++Index)
      BlockedCount += Fleet.sendsRequests(Index) ? 0 : 1;
  }
  CHECK(BlockedCount == 0);
}

TEST_CASE(
    "a daemon that starts while the store is unresponsive sends requests once "
    "it has the servers from a peer and its own calls have timed out") {
  deployment Fleet(44);
  for (std::size_t Index = 0; Index < 44; ++Index)
    Fleet.setStoreUnresponsive(Index, true);
  Fleet.advance(2s);
  Fleet.start(44);
  Fleet.setStoreUnresponsive(44, true);
  Fleet.advance(1s);
  CHECK(Fleet.usableServersAt(44) == deployment::ServerCount);
  CHECK(Fleet.sendsRequests(44));
}
