// The quota of an organisation over a simulated fleet, in every sliding window.

#include "simulated_quota_fleet.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr quota_settings Terms{5'000ms, 0.1, 20};

/// Organisations of three sizes, all at about six tenths of their quota.
std::vector<simulated_organisation> calmOrganisations() {
  return {{"large", {200, 200}, 125, 2},
          {"middle", {20, 20}, 12, 1},
          {"small", {2, 2}, 1.2, 2}};
}

struct fleet_size {
  std::size_t Processes;
  std::uint64_t Seed;
};

fleet_size anySize() {
  return GENERATE(fleet_size{3, 1}, fleet_size{46, 2}, fleet_size{123, 3},
                  fleet_size{123, 4});
}

void checkKept(const simulated_quota_fleet &Fleet) {
  for (const simulated_organisation &Each : Fleet.Organisations) {
    INFO(Each.Name);
    CHECK(Fleet.worstExcess(Each.Name) <= 0);
  }
}

} // namespace

TEST_CASE("what an organisation sends within its quota is not rejected") {
  auto [Processes, Seed] = anySize();
  INFO(Processes << " processes, seed " << Seed);
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  // Long enough for 200 requests of the smallest.
  Fleet.run(170s);
  checkKept(Fleet);
  for (const simulated_organisation &Each : Fleet.Organisations) {
    INFO(Each.Name);
    CHECK(Fleet.takeCounts(Each.Name).rejectedShare() < 0.02);
  }
}

TEST_CASE("an organisation that sends many times its quota is held to it") {
  auto [Processes, Seed] = anySize();
  double Times = GENERATE(2.0, 6.0, 10.0);
  std::size_t Hot = GENERATE(0, 1, 2);
  INFO(Processes << " processes, seed " << Seed << ", " << Times << " times");
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.run(10s);
  simulated_organisation &Sender = Fleet.Organisations[Hot];
  INFO(Sender.Name);
  double Calm = std::exchange(Sender.Rate, Sender.Quota.RatePerSecond * Times);
  Fleet.takeCounts(Sender.Name);
  Fleet.run(10s);
  checkKept(Fleet);
  // It gets its quota all the same.
  CHECK(static_cast<double>(Fleet.takeCounts(Sender.Name).Admitted) >
        0.85 * 10 * Sender.Quota.RatePerSecond);
  Sender.Rate = Calm;
  Fleet.run(3s);
  Fleet.takeCounts(Sender.Name);
  // Long enough for 400 requests.
  Fleet.run(milliseconds(static_cast<std::int64_t>(400'000 / Calm)));
  CHECK(Fleet.takeCounts(Sender.Name).rejectedShare() < 0.02);
  checkKept(Fleet);
}

TEST_CASE("the quota is kept while an organisation's coordinator is lost") {
  auto [Processes, Seed] = anySize();
  bool Restarts = GENERATE(false, true);
  bool Hot = GENERATE(false, true);
  INFO(Processes << " processes, seed " << Seed);
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.run(10s);
  simulated_organisation &Sender = Fleet.Organisations[0];
  if (Hot)
    Sender.Rate = 6 * Sender.Quota.RatePerSecond;
  Fleet.run(3s);
  std::size_t Coordinator = Fleet.coordinatorOf(Sender.Name);
  Fleet.takeCounts(Sender.Name);
  Fleet.kill(Coordinator);
  Fleet.run(2s);
  if (Restarts)
    Fleet.restart(Coordinator);
  else
    Fleet.tellMembers();
  Fleet.run(10s);
  checkKept(Fleet);
  if (!Hot)
    CHECK(Fleet.takeCounts(Sender.Name).rejectedShare() < 0.05);
}

TEST_CASE("the quota is kept while the coordinator of an organisation that "
          "begins to send too much is paused") {
  auto [Processes, Seed] = anySize();
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.run(10s);
  simulated_organisation &Sender = Fleet.Organisations[0];
  std::size_t Coordinator = Fleet.coordinatorOf(Sender.Name);
  Fleet.pause(Coordinator, true);
  Sender.Rate = 6 * Sender.Quota.RatePerSecond;
  Fleet.run(4s);
  Fleet.pause(Coordinator, false);
  Fleet.run(6s);
  checkKept(Fleet);
}

TEST_CASE("the quota is kept by the parts of a fleet that don't hear each "
          "other") {
  auto [Processes, Seed] = anySize();
  double CutShare = GENERATE(0.2, 0.5);
  bool Noticed = GENERATE(false, true);
  INFO(Processes << " processes, seed " << Seed << ", cut " << CutShare);
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.Organisations[0].Rate = 6 * Fleet.Organisations[0].Quota.RatePerSecond;
  Fleet.run(10s);
  for (std::size_t Index = 0;
       static_cast<double>(Index) < CutShare * static_cast<double>(Processes);
       ++Index)
    Fleet.setSide(Index, 1);
  Fleet.run(2s);
  if (Noticed)
    Fleet.tellMembers();
  Fleet.run(8s);
  checkKept(Fleet);
}

TEST_CASE("the quota is kept when the whole fleet starts again") {
  auto [Processes, Seed] = anySize();
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.Organisations[0].Rate = 6 * Fleet.Organisations[0].Quota.RatePerSecond;
  Fleet.run(10s);
  for (std::size_t Index = 0; Index < Processes; ++Index)
    Fleet.kill(Index);
  Fleet.run(1500ms);
  for (std::size_t Index = 0; Index < Processes; ++Index)
    Fleet.restart(Index);
  Fleet.run(8s);
  checkKept(Fleet);
}

TEST_CASE("the quota is kept while many processes join at once") {
  auto [Processes, Seed] = anySize();
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.Organisations[0].Rate = 4 * Fleet.Organisations[0].Quota.RatePerSecond;
  Fleet.run(10s);
  for (std::size_t Joined = 0; Joined < Processes * 3 / 4; ++Joined)
    Fleet.add();
  Fleet.run(8s);
  checkKept(Fleet);
}

TEST_CASE("a quota that is lowered far below what is sent holds after one "
          "window") {
  auto [Processes, Seed] = anySize();
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  Fleet.run(10s);
  simulated_quota_fleet::counts Before = Fleet.takeCounts("large");
  CHECK(Before.rejectedShare() < 0.02);
  Fleet.Organisations[0].Quota = {20, 20};
  Fleet.publish();
  Fleet.run(Terms.Window);
  Fleet.takeCounts("large");
  Fleet.run(10s);
  auto After = Fleet.takeCounts("large");
  CHECK(static_cast<double>(After.Admitted) <=
        (20 * 10 + 20) * (1 + Terms.Overage) + Terms.Slack);
  CHECK(static_cast<double>(After.Admitted) > 0.8 * 20 * 10);
}

TEST_CASE("what an organisation sends within its quota is not rejected when "
          "its coordinator is one again") {
  auto [Processes, Seed] = anySize();
  bool Hot = GENERATE(false, true);
  INFO(Processes << " processes, seed " << Seed);
  simulated_quota_fleet Fleet(Processes, Terms, calmOrganisations(), Seed);
  simulated_organisation &Sender = Fleet.Organisations[0];
  if (Hot)
    Sender.Rate = 6 * Sender.Quota.RatePerSecond;
  Fleet.run(10s);
  std::size_t Coordinator = Fleet.coordinatorOf(Sender.Name);
  Fleet.setSide(Coordinator, 1);
  Fleet.run(2s);
  Fleet.tellMembers();
  Fleet.run(8s);
  Fleet.takeCounts(Sender.Name);
  Fleet.setSide(Coordinator, 0);
  Fleet.tellMembers();
  Fleet.run(10s);
  checkKept(Fleet);
  if (!Hot)
    CHECK(Fleet.takeCounts(Sender.Name).rejectedShare() < 0.02);
}
