#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

TEST_CASE("what waits in a burst is not lost with a server") {
  // The load: a burst of a third more than the sound servers answer, and one
  // server in eight falls silent in its middle, with all that it holds.
  simulated_load Load = burst(480);
  Load.SilentSince = 6s;
  Load.SilentShare = 0.125;
  simulated_result Result = simulateSeeds(Load);
  // Six slots, one and a half times that ahead, and one request of every other
  // entry until all know. A server by itself would queue 24 beside its slots.
  CHECK(Result.Unanswered <= Result.Silent * (6 + 9 + 6));
}
