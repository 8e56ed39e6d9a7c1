#include "process/quarantine.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("the deaths of two different servers quarantine a request") {
  quarantine Quarantine;
  steady_time Now{1h};
  request_fingerprint Fingerprint = fingerprintOf("s", "k", "/t", "body");
  CHECK(Quarantine.recordDeath(Fingerprint, "a", Now));
  CHECK_FALSE(Quarantine.recordDeath(Fingerprint, "a", Now));
  CHECK_FALSE(Quarantine.isQuarantined(Fingerprint, Now));
  CHECK(Quarantine.recordDeath(Fingerprint, "b", Now));
  CHECK(Quarantine.isQuarantined(Fingerprint, Now));
  CHECK_FALSE(Quarantine.isQuarantined(Fingerprint, Now + 31min));
}

TEST_CASE("a request that was answered is cleared") {
  quarantine Quarantine;
  steady_time Now{1h};
  Quarantine.recordDeath(1, "a", Now);
  Quarantine.clear(1);
  Quarantine.recordDeath(1, "b", Now);
  CHECK_FALSE(Quarantine.isQuarantined(1, Now));
}

TEST_CASE("fingerprints differ by the work of a request") {
  CHECK(fingerprintOf("s", "k", "/t", "a") !=
        fingerprintOf("s", "k", "/t", "b"));
  CHECK(fingerprintOf("s", "k", "/t", "a") !=
        fingerprintOf("s", "k", "/u", "a"));
  CHECK(fingerprintOf("s", "k", "/t", "a") ==
        fingerprintOf("s", "k", "/t", "a"));
}

TEST_CASE("the number of fingerprints is bounded") {
  quarantine Quarantine;
  for (request_fingerprint Each = 0; Each < 10'000; ++Each)
    Quarantine.recordDeath(Each, "a", steady_time{1h});
  CHECK(Quarantine.size() <= 4'096);
}
