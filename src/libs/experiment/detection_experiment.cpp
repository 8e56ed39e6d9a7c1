#include "experiment/experiments.h"

#include "experiment/simulated_pool.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace endiverail {
namespace {

using namespace std::chrono_literals;

service_definition poolDefinition(std::size_t Size) {
  service_definition Definition;
  Definition.Name = Definition.Pool = "s";
  Definition.PoolSize = Size;
  Definition.MinHealthyServers = Size * 7 / 10;
  work_kind Kind;
  Kind.Name = "read";
  Kind.Method = "GET";
  Kind.Path = path_pattern::create("/s/*").value();
  Kind.Rank = rank::Urgent;
  Kind.Idempotent = true;
  Kind.LatencyTarget = 300ms;
  Kind.Timeout = 2'000ms;
  Definition.Kinds = {Kind};
  return Definition;
}

/// Sends requests at random times, \p Rate a second.
void keepSending(simulated_pool &Pool, double Rate) {
  std::exponential_distribution<double> Gap(Rate);
  auto Next = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double>(Gap(Pool.random())));
  Pool.at(Pool.now() + Next, [&Pool, Rate] {
    Pool.send("GET", "org");
    keepSending(Pool, Rate);
  });
}

double milli(steady_time::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return -1;
  std::ranges::sort(Values);
  return Values[static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Values.size() - 1)))];
}

struct detection_case {
  std::string Name;
  std::size_t PoolSize;
  double RatePerServer;
  simulated_fault Fault;
  double ErrorShare;
};

experiment_table::row measureDetection(const detection_case &Case,
                                       std::uint64_t Seed, std::size_t Runs) {
  constexpr auto Watched = 30s;
  std::vector<double> Detected;
  std::vector<double> Harmed;
  double LateAnswers = 0;
  for (std::size_t Run = 0; Run < Runs; ++Run) {
    simulated_pool Pool(poolDefinition(Case.PoolSize), Seed + Run * 7919);
    keepSending(Pool, Case.RatePerServer * static_cast<double>(Case.PoolSize));
    Pool.run(Pool.now() + 20s);
    steady_time Broken = Pool.now();
    Pool.server(0).Fault = Case.Fault;
    Pool.server(0).ErrorShare = Case.ErrorShare;
    std::optional<steady_time> Condemned;
    steady_time LastHarm = Broken;
    Pool.OnWish = [&](std::size_t Server, bool Eject) {
      if (Server == 0 && Eject && !Condemned)
        Condemned = Pool.now();
    };
    Pool.OnAnswer = [&](const simulated_pool::answer_event &Answer) {
      bool Late = !Answer.Right || Answer.Time > 300ms;
      LateAnswers += Late ? 1 : 0;
      // Trials of an ejected server are the price of its return.
      if (Late && !Condemned)
        LastHarm = Pool.now();
    };
    Pool.run(Broken + Watched);
    if (Condemned)
      Detected.push_back(milli(*Condemned - Broken));
    Harmed.push_back(milli(LastHarm - Broken));
  }
  double InTime = static_cast<double>(std::ranges::count_if(
                      Detected, [](double Time) { return Time <= 2'000; })) /
                  static_cast<double>(Runs);
  return {
      Case.Name,
      {quantile(Detected, 0.5), quantile(Detected, 0.99), 100 * InTime,
       100 * static_cast<double>(Detected.size()) / static_cast<double>(Runs),
       quantile(Harmed, 0.99), LateAnswers / static_cast<double>(Runs)}};
}

enum class noise { None, RandomErrors, Pauses, PoolSlow, Flood };

struct noise_case {
  std::string Name;
  noise Noise;
  std::size_t PoolSize;
  double RatePerServer;
};

void pauseSometimes(simulated_pool &Pool, std::size_t Size) {
  std::uniform_int_distribution<int> Gap(1'000, 60'000);
  Pool.at(Pool.now() + milliseconds(Gap(Pool.random())), [&Pool, Size] {
    std::uniform_int_distribution<std::size_t> Any(0, Size - 1);
    Pool.server(Any(Pool.random())).PausedUntil = Pool.now() + 400ms;
    pauseSometimes(Pool, Size);
  });
}

void slowPoolSometimes(simulated_pool &Pool, std::size_t Size) {
  auto SetAll = [&Pool, Size](simulated_fault Fault) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      Pool.server(Index).Fault = Fault;
  };
  Pool.at(Pool.now() + 60s, [&Pool, Size, SetAll] {
    SetAll(simulated_fault::Slow);
    Pool.at(Pool.now() + 10s, [SetAll] { SetAll(simulated_fault::None); });
    slowPoolSometimes(Pool, Size);
  });
}

experiment_table::row measureNoise(const noise_case &Case, std::uint64_t Seed,
                                   double ServerHours) {
  simulated_pool Pool(poolDefinition(Case.PoolSize), Seed);
  std::size_t Ejections = 0;
  Pool.OnWish = [&](std::size_t, bool Eject) { Ejections += Eject ? 1 : 0; };
  double Rate = Case.RatePerServer * static_cast<double>(Case.PoolSize);
  if (Case.Noise == noise::RandomErrors)
    for (std::size_t Index = 0; Index < Case.PoolSize; ++Index) {
      Pool.server(Index).Fault = simulated_fault::SomeErrors;
      Pool.server(Index).ErrorShare = 0.01;
    }
  if (Case.Noise == noise::Pauses)
    pauseSometimes(Pool, Case.PoolSize);
  if (Case.Noise == noise::PoolSlow)
    slowPoolSometimes(Pool, Case.PoolSize);
  keepSending(Pool, Rate);
  auto Time = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double, std::ratio<3600>>(
          ServerHours / static_cast<double>(Case.PoolSize)));
  Pool.run(Pool.now() + Time);
  return {Case.Name,
          {ServerHours, static_cast<double>(Ejections),
           10'000 * static_cast<double>(Ejections) / ServerHours}};
}

} // namespace

experiment_table detectionExperiment(std::uint64_t Seed, std::size_t Runs,
                                     std::string_view Only) {
  using enum simulated_fault;
  const detection_case Cases[]{
      {"hang, pool 6, 20/s a server", 6, 20, Hang, 0},
      {"hang, pool 10, 20/s a server", 10, 20, Hang, 0},
      {"hang, pool 20, 20/s a server", 20, 20, Hang, 0},
      {"hang, pool 200, 20/s a server", 200, 20, Hang, 0},
      {"errors, pool 8, 20/s a server", 8, 20, Error, 0},
      {"errors, pool 20, 20/s a server", 20, 20, Error, 0},
      {"half errors, pool 10, 20/s a server", 10, 20, SomeErrors, 0.5},
      {"30% errors, pool 10, 20/s a server", 10, 20, SomeErrors, 0.3},
      {"ten times slower, pool 10, 20/s a server", 10, 20, Slow, 0},
      {"hang, pool 10, 1/s in all", 10, 0.1, Hang, 0},
      {"errors, pool 10, 1/s in all", 10, 0.1, Error, 0},
  };
  experiment_table Table{
      "Detection of one failing backend server (simulated time)",
      {"p50 ms", "p99 ms", "in 2 s %", "in 30 s %", "harm p99 ms",
       "late answers"},
      {}};
  auto Wanted = Cases | std::views::filter([&](const detection_case &Case) {
                  return Case.Name.find(Only) != std::string::npos;
                });
  std::ranges::transform(Wanted, std::back_inserter(Table.Rows),
                         [&](const detection_case &Case) {
                           return measureDetection(Case, Seed, Runs);
                         });
  return Table;
}

experiment_table falseEjectionExperiment(std::uint64_t Seed,
                                         double ServerHours) {
  const noise_case Cases[]{
      {"no noise, pool 10, 20/s a server", noise::None, 10, 20},
      {"1% errors, pool 10, 20/s a server", noise::RandomErrors, 10, 20},
      {"1% errors, pool 6, 1/s a server", noise::RandomErrors, 6, 1},
      {"pauses of 400 ms, pool 10, 20/s a server", noise::Pauses, 10, 20},
      {"pool ten times slower 10 s a minute", noise::PoolSlow, 10, 10},
      {"flood of twice the capacity, pool 10", noise::Flood, 10, 480},
  };
  experiment_table Table{"Healthy backend servers ejected by mistake "
                         "(simulated time)",
                         {"server-hours", "ejections", "in 10000 h"},
                         {}};
  std::ranges::transform(
      Cases, std::back_inserter(Table.Rows), [&](const noise_case &Case) {
        // A flood costs much more to simulate than quiet hours.
        double Hours =
            Case.Noise == noise::Flood ? ServerHours / 20 : ServerHours;
        return measureNoise(Case, Seed, Hours);
      });
  return Table;
}

} // namespace endiverail
