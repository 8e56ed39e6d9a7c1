#include "process/server_belief.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("a first failure makes a server doubtful, good answers clear it") {
  server_belief Belief;
  steady_time Now{1h};
  Belief.observe(false, Now);
  CHECK(Belief.sick(Now) < 0.02);
  Belief.observe(true, Now);
  CHECK(Belief.sick(Now) > 0.5);
  Belief.observe(true, Now);
  CHECK(Belief.sick(Now) > 0.9);
  for (int Count = 0; Count < 6; ++Count)
    Belief.observe(false, Now);
  CHECK(Belief.sick(Now) < 0.05);
}

TEST_CASE("without answers a belief returns to the long-term share") {
  server_belief Sick;
  server_belief Well;
  steady_time Now{1h};
  for (int Count = 0; Count < 5; ++Count) {
    Sick.observe(true, Now);
    Well.observe(false, Now);
  }
  CHECK(Sick.sick(Now) > 0.95);
  CHECK(Well.sick(Now) < 0.01);
  CHECK(Sick.sick(Now + 1s) < Sick.sick(Now));
  CHECK(Well.sick(Now + 1s) > Well.sick(Now));
  CHECK(Sick.sick(Now + 60s) == Approx(Sick.longTermShare()).margin(0.01));
  CHECK(Well.sick(Now + 60s) == Approx(Sick.longTermShare()).margin(0.01));
}

TEST_CASE("a late error tells less than one at once") {
  server_belief Late;
  server_belief AtOnce;
  steady_time Now{1h};
  Late.observeError(Now);
  AtOnce.observe(true, Now);
  CHECK(Late.sick(Now) > server_belief().sick(Now));
  CHECK(Late.sick(Now) < AtOnce.sick(Now));
}
