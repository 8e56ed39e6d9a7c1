#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

TEST_CASE("what waits in a burst is not lost with a server") {
  // A burst of a third more than the healthy servers answer. In the middle of
  // it, one server in eight stops answering, including the requests it has.
  simulated_load Load = burst(480);
  Load.SilentSince = 6s;
  Load.SilentShare = 0.125;
  simulated_result Result = simulateSeeds(Load);
  // Six running requests, one and a half times as many queued, and one request
  // of every other entry until all entries know. A server's own queue would
  // hold 24 requests besides those in its slots.
  CHECK(Result.Unanswered <= Result.Silent * (6 + 9 + 6));
}
