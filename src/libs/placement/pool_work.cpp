#include "placement/pool_work.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace endiverail {
namespace {

constexpr double StartMemory = 1.0 / 128;
constexpr double MinStarts = 16;
/// Squared coefficient of variation of the expected times from which on a pool
/// counts as mixed.
constexpr double MixedVariation = 0.12;

} // namespace

void pool_work::recordStart(const cost_estimate &Estimate, double Slack) {
  Starts += 1;
  auto Average = [](double &Value, double New, double Count) {
    Value += std::max(StartMemory, 1 / Count) * (New - Value);
  };
  Average(Mean, Estimate.mean(), Starts);
  Average(MeanSquare, Estimate.meanSquare(), Starts);
  Average(SquareOfMeans, Estimate.mean() * Estimate.mean(), Starts);
  if (Estimate.mean() < Mean) {
    ShortStarts += 1;
    Average(SlackOfShort, std::max(0.0, Slack), ShortStarts);
  }
}

double pool_work::meanRemaining() const {
  return Mean > 0 ? MeanSquare / (2 * Mean) : 0;
}

bool pool_work::isMixed() const {
  return Starts >= MinStarts &&
         SquareOfMeans > (1 + MixedVariation) * Mean * Mean;
}

void server_work_left::add(std::uint64_t Request, cost_estimate Estimate,
                           steady_time Begins) {
  Running.push_back({Request, std::move(Estimate), Begins});
}

void server_work_left::remove(std::uint64_t Request) {
  std::erase_if(Running,
                [&](const running &Each) { return Each.Request == Request; });
}

double server_work_left::remaining(steady_time Now) const {
  return std::transform_reduce(Running.begin(), Running.end(), 0.0, std::plus{},
                               [&](const running &Each) {
                                 return Each.Estimate.remainingAfter(
                                     Now - Each.Begins);
                               });
}

} // namespace endiverail
