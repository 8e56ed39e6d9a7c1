#include "process/health_estimator.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("a failure raises the unhealthy probability, good answers lower it") {
  health_estimator Health;
  steady_time Now{1h};
  Health.observe(false, Now);
  CHECK(Health.unhealthyProbability(Now) < 0.02);
  Health.observe(true, Now);
  CHECK(Health.unhealthyProbability(Now) > 0.5);
  Health.observe(true, Now);
  CHECK(Health.unhealthyProbability(Now) > 0.9);
  for (int Count = 0; Count < 6; ++Count)
    Health.observe(false, Now);
  CHECK(Health.unhealthyProbability(Now) < 0.05);
}

TEST_CASE(
    "without answers the estimate returns to the stationary probability") {
  health_estimator Unhealthy;
  health_estimator Healthy;
  steady_time Now{1h};
  for (int Count = 0; Count < 5; ++Count) {
    Unhealthy.observe(true, Now);
    Healthy.observe(false, Now);
  }
  CHECK(Unhealthy.unhealthyProbability(Now) > 0.95);
  CHECK(Healthy.unhealthyProbability(Now) < 0.01);
  CHECK(Unhealthy.unhealthyProbability(Now + 1s) <
        Unhealthy.unhealthyProbability(Now));
  CHECK(Healthy.unhealthyProbability(Now + 1s) >
        Healthy.unhealthyProbability(Now));
  CHECK(Unhealthy.unhealthyProbability(Now + 60s) ==
        Approx(Unhealthy.stationaryProbability()).margin(0.01));
  CHECK(Healthy.unhealthyProbability(Now + 60s) ==
        Approx(Unhealthy.stationaryProbability()).margin(0.01));
}

TEST_CASE("an error after the usual work counts less than an immediate one") {
  health_estimator Late;
  health_estimator Immediate;
  steady_time Now{1h};
  Late.observeErrorAfterWork(Now);
  Immediate.observe(true, Now);
  CHECK(Late.unhealthyProbability(Now) >
        health_estimator().unhealthyProbability(Now));
  CHECK(Late.unhealthyProbability(Now) < Immediate.unhealthyProbability(Now));
}
