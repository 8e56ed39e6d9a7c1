#include "experiment/experiments.h"

#include "experiment/simulated_pool.h"

#include <algorithm>
#include <array>
#include <set>

namespace endiverail {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t PoolSize = 10;
/// 10 servers of 6 slots at 25 ms.
constexpr double CapacityPerSecond = 2'400;
constexpr std::array<std::string_view, RankCount> MethodOfRank{"GET", "PUT",
                                                               "DELETE"};

enum class policy { Shares, Strict, FirstCome };

service_definition definitionFor(policy Policy) {
  service_definition Definition;
  Definition.Name = Definition.Pool = "s";
  Definition.PoolSize = PoolSize;
  Definition.MinHealthyServers = 7;
  Definition.SharePercent = Policy == policy::Shares
                                ? per_rank<std::size_t>{60, 25, 10}
                                : per_rank<std::size_t>{1, 1, 1};
  Definition.QueueLimit = {400, 400, 400};
  for (rank Rank : AllRanks) {
    work_kind Kind;
    Kind.Name = rankName(Rank);
    Kind.Method = MethodOfRank[rankIndex(Rank)];
    Kind.Path = path_pattern::create("/s/*").value();
    // First come first served knows no ranks.
    Kind.Rank = Policy == policy::FirstCome ? rank::Urgent : Rank;
    Kind.Idempotent = true;
    Kind.LatencyTarget = 300ms;
    Kind.Timeout = 1'000ms;
    Definition.Kinds.push_back(Kind);
  }
  return Definition;
}

struct rank_count {
  double Sent = 0;
  double InTarget = 0;
};

/// Keeps a rank's requests coming at a rate that may change.
class rank_source {
public:
  rank_source(simulated_pool &Pool, rank Rank, double Rate)
      : Pool(Pool), Rank(Rank), Rate(Rate) {
    schedule();
  }
  rank_source(const rank_source &) = delete;
  rank_source &operator=(const rank_source &) = delete;
  void setRate(double NewRate) { Rate = NewRate; }
  /// Takes an answer to one of this rank's requests.
  void onAnswer(request_id Request, bool Good) {
    if (Watched.erase(Request) != 0 && Good)
      Counted.InTarget += 1;
  }
  rank_count Counted;
  bool Counting = false;

private:
  void schedule() {
    std::exponential_distribution<double> Gap(Rate);
    auto Next = std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double>(Gap(Pool.random())));
    Pool.at(Pool.now() + Next, [this] {
      std::uniform_int_distribution<int> Organisation(1, 20);
      request_id Request =
          Pool.send(MethodOfRank[rankIndex(Rank)],
                    std::to_string(Organisation(Pool.random())));
      if (Counting) {
        Counted.Sent += 1;
        Watched.insert(Request);
      }
      schedule();
    });
  }

  simulated_pool &Pool;
  rank Rank;
  double Rate;
  /// Requests that were sent while counting and are not answered yet.
  std::set<request_id> Watched;
};

struct flood_case {
  std::string Name;
  policy Policy;
  rank Flooding;
  double Times;
};

experiment_table::row measureFlood(const flood_case &Case, std::uint64_t Seed) {
  simulated_pool Pool(definitionFor(Case.Policy), Seed);
  const per_rank<double> Usual{0.25 * CapacityPerSecond,
                               0.15 * CapacityPerSecond,
                               0.05 * CapacityPerSecond};
  std::vector<std::unique_ptr<rank_source>> Sources;
  Sources.reserve(RankCount);
  for (rank Rank : AllRanks)
    Sources.push_back(
        std::make_unique<rank_source>(Pool, Rank, Usual[rankIndex(Rank)]));
  steady_time LastLate = Pool.now();
  bool Flooded = false;
  steady_time FloodEnd;
  Pool.OnAnswer = [&](const simulated_pool::answer_event &Answer) {
    bool Good =
        Answer.Outcome == outcome::Done && Answer.Right && Answer.Time <= 300ms;
    Sources[Answer.Kind]->onAnswer(Answer.Request, Good);
    if (!Good && Flooded && Pool.now() >= FloodEnd)
      LastLate = Pool.now();
  };
  Pool.run(Pool.now() + 15s);
  Sources[rankIndex(Case.Flooding)]->setRate(Case.Times * CapacityPerSecond);
  Pool.run(Pool.now() + 2s);
  for (auto &Source : Sources)
    Source->Counting = true;
  double InUse = 0;
  constexpr int Samples = 400;
  for (int Sample = 0; Sample < Samples; ++Sample) {
    Pool.run(Pool.now() + 10ms);
    InUse += static_cast<double>(Pool.inUse());
  }
  for (auto &Source : Sources)
    Source->Counting = false;
  Sources[rankIndex(Case.Flooding)]->setRate(Usual[rankIndex(Case.Flooding)]);
  Flooded = true;
  FloodEnd = LastLate = Pool.now();
  Pool.run(Pool.now() + 5s);
  experiment_table::row Row{Case.Name, {}};
  for (auto &Source : Sources)
    Row.Values.push_back(100 * Source->Counted.InTarget /
                         std::max(1.0, Source->Counted.Sent));
  Row.Values.push_back(100 * InUse / Samples / (PoolSize * 6));
  Row.Values.push_back(
      std::chrono::duration<double, std::milli>(LastLate - FloodEnd).count());
  return Row;
}

std::string_view policyName(policy Policy) {
  constexpr std::array<std::string_view, 3> Names{"shares", "strict",
                                                  "first come"};
  return Names[static_cast<std::size_t>(Policy)];
}

} // namespace

experiment_table floodExperiment(std::uint64_t Seed) {
  experiment_table Table{
      "Answers within the target of 300 ms by rank during a flood, % of sent "
      "(simulated time)",
      {"urgent %", "normal %", "background %", "slots used %", "effect ms"},
      {}};
  for (rank Flooding : {rank::Background, rank::Urgent})
    for (double Times : {2.0, 5.0, 20.0})
      for (policy Policy :
           {policy::Shares, policy::Strict, policy::FirstCome}) {
        std::string Name(rankName(Flooding));
        Name += " at " + std::to_string(static_cast<int>(Times)) + "x, ";
        Name += policyName(Policy);
        Table.Rows.push_back(
            measureFlood({Name, Policy, Flooding, Times}, Seed));
      }
  return Table;
}

} // namespace endiverail
