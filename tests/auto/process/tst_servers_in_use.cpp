#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

struct deployment {
  std::size_t Servers;
  std::size_t Entries;
  double Rate;
  bool Idempotent;
};

simulated_load loadOf(const deployment &Deployment) {
  simulated_load Load;
  Load.Servers = Deployment.Servers;
  Load.Entries = Deployment.Entries;
  Load.Rate = Load.BurstRate = Deployment.Rate;
  Load.Idempotent = Deployment.Idempotent;
  Load.IdleBefore = 10s;
  Load.Timeouts = true;
  Load.Length = 18s;
  return Load;
}

/// Groups of a pool that begin to fail one after the other, until a share of
/// the pool is left.
std::vector<simulated_fault> groupsFailing(server_fault Kind, double Healthy,
                                           double Strength) {
  double Third = (1 - Healthy) / 3;
  return {{Kind, 2s, 16s, 0, Third, Strength},
          {Kind, 4s, 14s, Third, 2 * Third, Strength},
          {Kind, 6s, 12s, 2 * Third, 1 - Healthy, Strength}};
}

struct scene {
  std::string What;
  deployment Deployment;
  server_fault Kind;
  double Strength;
};

void checkFloor(const simulated_load &Load) {
  simulated_result Result = simulated_fleet(Load).simulate();
  UNSCOPED_INFO("windows " << Result.Floor.Windows << ", idle share "
                           << Result.Floor.MaxIdleShare << ", not served "
                           << 1 - Result.share(Result.InTime + Result.Late));
  CHECK(Result.Floor.Broken == 0);
}

} // namespace

TEST_CASE("healthy servers get requests while most of their pool fails") {
  auto Scene = GENERATE(
      scene{"few servers", {4, 44, 30, true}, server_fault::LostAnswers, 0.7},
      scene{
          "lost answers", {20, 107, 76, true}, server_fault::LostAnswers, 0.35},
      scene{"no connection",
            {70, 111, 150, true},
            server_fault::Unreachable,
            0.35},
      scene{"hanging servers", {70, 111, 150, true}, server_fault::Hang, 0.7},
      scene{"errors", {85, 107, 253, true}, server_fault::Errors, 0.7},
      scene{"overload", {20, 107, 300, false}, server_fault::Errors, 0.35});
  INFO(Scene.What);
  simulated_load Load = loadOf(Scene.Deployment);
  Load.Faults = groupsFailing(Scene.Kind, 0.25, Scene.Strength);
  checkFloor(Load);
}

TEST_CASE("healthy servers of a large pool get requests that may not be "
          "repeated",
          "[large_pool]") {
  simulated_load Load = loadOf({157, 107, 604, false});
  Load.Faults = groupsFailing(server_fault::Hang, 0.25, 0.7);
  checkFloor(Load);
}

TEST_CASE("healthy servers get requests from the first second on",
          "[large_pool]") {
  simulated_load Load = loadOf({157, 107, 604, false});
  Load.Length = 10s;
  Load.Faults = {{server_fault::LostAnswers, 0s, 10s, 0, 0.75, 0.35}};
  checkFloor(Load);
}

TEST_CASE("healthy servers get requests although entries are lost and links "
          "are lossy") {
  simulated_load Load = loadOf({70, 111, 150, true});
  Load.Faults = groupsFailing(server_fault::LostAnswers, 0.25, 0.5);
  Load.EntriesLostAt = 7s;
  Load.LostEntries = 24;
  Load.LossyEntries = 0.3;
  Load.Loss = 0.1;
  checkFloor(Load);
}

TEST_CASE("healthy servers get requests while most of their pool can't be "
          "reached",
          "[unreachable]") {
  auto Deployment =
      GENERATE(deployment{20, 107, 76, true}, deployment{20, 44, 300, false},
               deployment{157, 107, 604, false});
  simulated_load Load = loadOf(Deployment);
  Load.Faults = groupsFailing(server_fault::Unreachable, 0.25, 0.7);
  Load.Seed = 11;
  checkFloor(Load);
}

TEST_CASE("healthy servers get requests in all deployments", "[.sweep]") {
  auto Deployment = GENERATE(
      deployment{4, 44, 30, true}, deployment{20, 107, 76, true},
      deployment{20, 44, 300, false}, deployment{70, 111, 150, true},
      deployment{85, 107, 253, true}, deployment{125, 111, 310, false},
      deployment{157, 107, 604, false}, deployment{157, 123, 900, false});
  auto Kind = GENERATE(server_fault::Errors, server_fault::Hang,
                       server_fault::LostAnswers, server_fault::Unreachable);
  auto Strength = GENERATE(0.35, 0.7);
  auto LostEntries = GENERATE(0, 20);
  CAPTURE(Deployment.Servers, Deployment.Rate, Kind, Strength, LostEntries);
  simulated_load Load = loadOf(Deployment);
  Load.Faults = groupsFailing(Kind, 0.25, Strength);
  Load.LostEntries = static_cast<std::size_t>(LostEntries);
  Load.EntriesLostAt = 7s;
  Load.LossyEntries = LostEntries > 0 ? 0.3 : 0;
  Load.Loss = 0.1;
  for (Load.Seed = 1; Load.Seed <= 3; ++Load.Seed)
    checkFloor(Load);
}
