// The quota of organisations in every sliding window, in random fleets with
// random troubles.

#include "quota_troubles.h"

using namespace endiverail::test;

TEST_CASE("the quota is kept in every window whatever troubles come") {
  for (std::uint64_t Seed = 1; Seed < 160; ++Seed)
    checkKeptInTroubles(Seed);
}
