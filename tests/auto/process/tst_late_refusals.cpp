#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a flood that comes to few entries is refused at once, too") {
  // Two and a half times the rate that the healthy servers answer, six tenths
  // of it at a quarter of the entries.
  simulated_load Load = burst(900);
  Load.ShareToLargeEntries = 0.6;
  simulated_result Result = simulateSeeds(Load);
  CHECK(Result.share(Result.RejectedLate) < 0.01);
}
