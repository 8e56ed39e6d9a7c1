#include "late_daemons.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// A server leaves, or its entry is removed, three seconds after the store's
/// return.
void endWorkAfterReturn(bool Removed) {
  std::size_t Count = GENERATE(44, 111);
  milliseconds Absence =
      GENERATE(2'000ms, 2'700ms, 3'000ms, 3'700ms, 9'000ms, 9'700ms);
  INFO(Count << " daemons, away for " << Absence.count() << " ms, "
             << (Removed ? "gone" : "leaving"));
  deployment Fleet(Count);
  // Each of them pauses differently between its calls.
  std::vector<bool> Lonely(Count);
  for (std::size_t Index = 0; Index < Count; Index += 3)
    Lonely[Index] = true;
  for (std::size_t Reader : Fleet.readers())
    Lonely[Reader] = false;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setUnanswered(Index, true);
  Fleet.pass(Absence);
  Fleet.Loses = [&](std::size_t Index) { return Lonely[Index]; };
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setUnanswered(Index, false);
  Fleet.pass(3s);
  Fleet.endWork(0, Removed);
  Fleet.pass(UnusedWithin);
  std::vector<std::size_t> Late;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Lonely[Index] && Fleet.mayGetWork(Index, deployment::id(0)))
      Late.push_back(Index);
  CHECK(std::ranges::count(Lonely, true) > 10);
  CHECK(Late == std::vector<std::size_t>{});
}

} // namespace

TEST_CASE("once the store has been back for three seconds daemons that no "
          "datagram reaches send no request to a server that leaves",
          "[leaving]") {
  endWorkAfterReturn(false);
}

TEST_CASE("once the store has been back for three seconds daemons that no "
          "datagram reaches send no request to a server that is gone",
          "[gone]") {
  endWorkAfterReturn(true);
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
