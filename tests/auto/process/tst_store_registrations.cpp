#include "store_fleet.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

TEST_CASE("all daemons register again when the store has lost their "
          "registrations") {
  store_fleet Fleet(10);
  Fleet.configure(1);
  Fleet.advance(5s);
  Fleet.returnFromOlderCopy();
  Fleet.advance(5s);
  CHECK(Fleet.registeredDaemons() == 10);
}
