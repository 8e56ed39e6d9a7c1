#pragma once

#include "simulated_quota_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <ostream>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace endiverail::test {
namespace detail {

inline constexpr quota_settings TroubleTerms{std::chrono::milliseconds(5'000),
                                             0.1, 20};
/// Until membership knows of a change.
inline constexpr milliseconds DetectionTime{2'000};

enum class trouble { Calm, Hot, Restart, Kill, Pause, Cut, Join, Lossy };
inline constexpr int TroubleCount = 8;

/// A trouble, which process or organisation it meets, and how long it lasts.
struct step {
  trouble Trouble = trouble::Calm;
  std::size_t Which = 0;
  milliseconds Time{0};
};

inline std::ostream &operator<<(std::ostream &Out, const step &Step) {
  return Out << "trouble " << static_cast<int>(Step.Trouble) << " of "
             << Step.Which << " for " << Step.Time.count() << " ms";
}

/// A fleet and what it meets, all of which follow from a seed.
struct plan {
  explicit plan(std::uint64_t Seed) : Random(Seed) {
    constexpr std::array<std::size_t, 3> Sizes{3, 12, 46};
    Processes = Sizes[Random() % Sizes.size()];
    constexpr std::uint64_t MostSteps = 11;
    std::generate_n(std::back_inserter(Steps), Random() % (MostSteps + 1), [&] {
      return step{static_cast<trouble>(Random() % TroubleCount), Random(),
                  milliseconds(200 + Random() % 3'800)};
    });
  }

  std::mt19937_64 Random;
  std::size_t Processes = 0;
  std::vector<step> Steps;
};

inline std::ostream &operator<<(std::ostream &Out, const plan &Plan) {
  Out << Plan.Processes << " processes";
  for (const step &Step : Plan.Steps)
    Out << "; " << Step;
  return Out;
}

inline std::vector<simulated_organisation> organisations() {
  return {{"large", {200, 200}, 125, 2},
          {"middle", {20, 20}, 12, 1},
          {"small", {2, 2}, 1.2, 2}};
}

inline void apply(const step &Step, simulated_quota_fleet &Fleet,
                  std::size_t Count) {
  std::size_t Process = Step.Which % Count;
  switch (Step.Trouble) {
  case trouble::Calm:
    return;
  case trouble::Hot: {
    auto &Hot = Fleet.Organisations[Step.Which % Fleet.Organisations.size()];
    Hot.Rate = Hot.Quota.RatePerSecond * 6;
    return;
  }
  case trouble::Restart:
    return Fleet.restart(Process);
  case trouble::Kill:
    Fleet.kill(Process);
    Fleet.run(Step.Time);
    return Fleet.restart(Process);
  case trouble::Pause:
    Fleet.pause(Process, true);
    Fleet.run(Step.Time);
    return Fleet.pause(Process, false);
  case trouble::Cut: {
    std::size_t Size =
        1 + Step.Which / Count % std::max<std::size_t>(1, Count / 2);
    for (std::size_t Index = 0; Index < Size; ++Index)
      Fleet.setSide((Process + Index) % Count, 1);
    Fleet.run(std::min(Step.Time, DetectionTime));
    Fleet.tellMembers();
    Fleet.run(Step.Time);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.setSide(Index, 0);
    return Fleet.tellMembers();
  }
  case trouble::Join:
    return Fleet.add();
  case trouble::Lossy:
    Fleet.Network.Loss = Fleet.Network.Loss < 0.1 ? 0.2 : 0.01;
    return;
  }
}

/// Plays the plan and returns the organisation whose quota was exceeded most,
/// with by how many requests.
inline std::pair<std::string, double> play(plan &Plan) {
  simulated_quota_fleet Fleet(Plan.Processes, TroubleTerms, organisations(),
                              Plan.Random());
  Fleet.run(std::chrono::seconds(6));
  for (const step &Step : Plan.Steps) {
    apply(Step, Fleet, Plan.Processes);
    Fleet.run(Step.Time);
    if (Step.Time > DetectionTime)
      Fleet.tellMembers();
  }
  Fleet.run(std::chrono::seconds(4));
  auto ExcessOf = [&](const simulated_organisation &Each) {
    return Fleet.worstExcess(Each.Name);
  };
  auto Worst = std::ranges::max_element(Fleet.Organisations, {}, ExcessOf);
  return {Worst->Name, ExcessOf(*Worst)};
}

} // namespace detail

/// Checks that the quota of every organisation is kept in a random fleet with
/// random troubles.
inline void checkKeptInTroubles(std::uint64_t Seed) {
  detail::plan Plan(Seed);
  auto [Organisation, Excess] = detail::play(Plan);
  INFO("seed " << Seed << ": " << Plan);
  INFO(Organisation);
  CHECK(Excess <= 0);
}

} // namespace endiverail::test
