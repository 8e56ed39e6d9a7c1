#include "quota_troubles.h"

using namespace endiverail::test;

TEST_CASE("the quota is kept when a partition ends while an organisation sends "
          "too much") {
  for (std::uint64_t Seed : {160, 362, 1174, 1253, 1334, 1565})
    checkKeptInTroubles(Seed);
}
