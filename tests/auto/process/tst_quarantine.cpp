#include "process/quarantine.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("two deaths of different servers quarantine a request") {
  quarantine Quarantine;
  steady_time Now{1h};
  request_fingerprint Killer = fingerprintOf("s", "k", "/t", "body");
  CHECK(Quarantine.noteDeath(Killer, "a", Now));
  CHECK_FALSE(Quarantine.noteDeath(Killer, "a", Now));
  CHECK_FALSE(Quarantine.isQuarantined(Killer, Now));
  CHECK(Quarantine.noteDeath(Killer, "b", Now));
  CHECK(Quarantine.isQuarantined(Killer, Now));
  CHECK_FALSE(Quarantine.isQuarantined(Killer, Now + 31min));
}

TEST_CASE("a request that is answered is cleared") {
  quarantine Quarantine;
  steady_time Now{1h};
  Quarantine.noteDeath(1, "a", Now);
  Quarantine.clear(1);
  Quarantine.noteDeath(1, "b", Now);
  CHECK_FALSE(Quarantine.isQuarantined(1, Now));
}

TEST_CASE("fingerprints tell work apart") {
  CHECK(fingerprintOf("s", "k", "/t", "a") !=
        fingerprintOf("s", "k", "/t", "b"));
  CHECK(fingerprintOf("s", "k", "/t", "a") !=
        fingerprintOf("s", "k", "/u", "a"));
  CHECK(fingerprintOf("s", "k", "/t", "a") ==
        fingerprintOf("s", "k", "/t", "a"));
}

TEST_CASE("many fingerprints stay within bounds") {
  quarantine Quarantine;
  for (request_fingerprint Each = 0; Each < 10'000; ++Each)
    Quarantine.noteDeath(Each, "a", steady_time{1h});
  CHECK(Quarantine.size() <= 4'096);
}
