#include "placement/cost_model.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <ranges>

namespace endiverail {
namespace {

/// Sum of the weights of a route's observations; older ones fade.
constexpr double MaxWeight = 200;
/// Weight of the prior, in observations.
constexpr double PriorWeight = 4;
/// Observations after which a route's curve is computed again.
constexpr std::size_t CurveRefresh = 8;
constexpr std::size_t MaxTraitValues = 8;
constexpr double MinTraitWeight = 16;
/// A trait is used if its squared error is below this share of the route's.
constexpr double MaxErrorShare = 0.8;
/// Weight of a new value in a fading average.
constexpr double AverageMemory = 1.0 / 64;
constexpr double MinMilliseconds = 0.1;

double inMilliseconds(microseconds Time) {
  return std::max(MinMilliseconds, static_cast<double>(Time.count()) / 1'000);
}

std::string_view pathPrefix(std::string_view Path) {
  constexpr std::size_t Segments = 2;
  Path = Path.substr(0, Path.find('?'));
  std::size_t End = 0;
  for (std::size_t Segment = 0;
       Segment < Segments && End != std::string_view::npos; ++Segment)
    End = Path.find('/', End + 1);
  return Path.substr(0, End);
}

} // namespace

std::size_t cost_scale::indexOf(double Milliseconds) {
  double Index =
      std::floor(std::log(std::max(1.0, Milliseconds)) / std::log(Ratio));
  return std::min(Intervals - 1, static_cast<std::size_t>(Index));
}

double cost_scale::timeOf(std::size_t Index) {
  return std::pow(Ratio, static_cast<double>(Index) + 0.5);
}

double cost_estimate::remainingAfter(steady_time::duration Elapsed) const {
  double Milliseconds =
      std::chrono::duration<double, std::milli>(Elapsed).count() / Stretch;
  return Milliseconds <= 0
             ? mean()
             : Curve->Remaining[cost_scale::indexOf(Milliseconds)] * Stretch;
}

namespace detail {

cost_histogram::cost_histogram(milliseconds LatencyTarget) {
  double Usual = static_cast<double>(LatencyTarget.count()) / 4;
  recordEnd(Usual / 2, PriorWeight / 4);
  recordEnd(Usual, PriorWeight / 2);
  recordEnd(Usual * 2, PriorWeight / 4);
}

void cost_histogram::age() {
  double Sum = std::reduce(Ended.begin(), Ended.end()) +
               std::reduce(Censored.begin(), Censored.end());
  if (Sum <= MaxWeight)
    return;
  auto Fade = [&](double &Weight) { Weight *= MaxWeight / Sum; };
  std::ranges::for_each(Ended, Fade);
  std::ranges::for_each(Censored, Fade);
}

void cost_histogram::recordEnd(double Milliseconds, double Weight) {
  Ended[cost_scale::indexOf(Milliseconds)] += Weight;
  age();
}

void cost_histogram::recordCensored(double Milliseconds) {
  Censored[cost_scale::indexOf(Milliseconds)] += 1;
  age();
}

std::shared_ptr<const cost_curve> cost_histogram::curve() const {
  constexpr std::size_t Count = cost_scale::Intervals;
  std::array<double, Count> Share{};
  double AtRisk = std::reduce(Ended.begin(), Ended.end()) +
                  std::reduce(Censored.begin(), Censored.end());
  double Surviving = 1;
  std::size_t Last = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (AtRisk > 0 && Ended[Index] > 0) {
      Share[Index] = Surviving * std::min(1.0, Ended[Index] / AtRisk);
      Surviving -= Share[Index];
    }
    if (Ended[Index] > 0 || Censored[Index] > 0)
      Last = Index;
    AtRisk -= Ended[Index] + Censored[Index];
  }
  // Requests that outlasted all seen ends are assumed to end in the next
  // interval.
  Share[std::min(Count - 1, Last + 1)] += std::max(0.0, Surviving);

  cost_curve Curve;
  double Below = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    double Time = cost_scale::timeOf(Index);
    Curve.Mean += Share[Index] * Time;
    Curve.MeanSquare += Share[Index] * Time * Time;
    Below += Share[Index];
    if (Curve.Percentile95 == 0 && Below >= 0.95)
      Curve.Percentile95 = Time;
  }
  double Above = 0;
  double TimeAbove = 0;
  for (std::size_t Index = Count; Index-- > 0;) {
    double Time = cost_scale::timeOf(Index);
    Above += Share[Index];
    TimeAbove += Share[Index] * Time;
    // Beyond all that was seen, a request is expected to last as long again.
    Curve.Remaining[Index] =
        Above > 1e-9 ? std::max(TimeAbove / Above - Time, Time / 4) : Time;
  }
  return std::make_shared<const cost_curve>(Curve);
}

void time_average::add(double Milliseconds) {
  Weight += 1;
  double Share = std::max(AverageMemory, 1 / Weight);
  Mean += Share * (Milliseconds - Mean);
  MeanLogarithm += Share * (std::log(Milliseconds) - MeanLogarithm);
}

const trait_value *trait_effect::find(std::uint64_t Hash) const {
  auto Found = std::ranges::find(Values, Hash, &trait_value::Hash);
  return Found != Values.end() && Found->Times.Weight >= MinTraitWeight
             ? &*Found
             : nullptr;
}

bool trait_effect::helps() const {
  return SquaredError < MaxErrorShare * RouteSquaredError;
}

void trait_effect::record(std::uint64_t Hash, double Milliseconds,
                          const time_average &OfRoute) {
  if (const trait_value *Known = find(Hash)) {
    auto Average = [&](double &Mean, double Predicted) {
      double Error = std::log(Milliseconds) - Predicted;
      Mean += AverageMemory * (Error * Error - Mean);
    };
    Average(SquaredError, Known->Times.MeanLogarithm);
    Average(RouteSquaredError, OfRoute.MeanLogarithm);
  }
  auto Found = std::ranges::find(Values, Hash, &trait_value::Hash);
  if (Found == Values.end()) {
    if (Values.size() >= MaxTraitValues) {
      auto Rarest =
          std::ranges::min_element(Values, {}, [](const trait_value &Each) {
            return Each.Times.Weight;
          });
      // Many rare values together must not evict the frequent ones at once.
      if (--Rarest->Times.Weight > 0)
        return;
      Values.erase(Rarest);
    }
    Found = Values.insert(Values.end(), trait_value{Hash, {}});
  }
  Found->Times.add(Milliseconds);
}

} // namespace detail

cost_model::route &cost_model::routeOf(const request_traits &Request) {
  ++Uses;
  auto Found = Routes.find(Request.Route);
  if (Found == Routes.end()) {
    if (Routes.size() >= MaxRoutes)
      Routes.erase(std::ranges::min_element(
          Routes, {}, [](const auto &Entry) { return Entry.second.LastUsed; }));
    Found =
        Routes.try_emplace(std::string(Request.Route), Request.LatencyTarget)
            .first;
    Found->second.Accuracy.Route = Request.Route;
    refresh(Found->second);
  }
  Found->second.LastUsed = Uses;
  return Found->second;
}

std::array<std::uint64_t, cost_model::Traits>
cost_model::hashesOf(const request_traits &Request) {
  return {stableHash(Request.Method), stableHash(pathPrefix(Request.Path)),
          std::bit_width(Request.BodyBytes), stableHash(Request.Organisation)};
}

double cost_model::stretchOf(const route &Route,
                             const request_traits &Request) {
  auto Hashes = hashesOf(Request);
  const detail::trait_value *Best = nullptr;
  double BestShare = 1;
  for (std::size_t Index = 0; Index < Traits; ++Index) {
    const detail::trait_effect &Effect = Route.Effects[Index];
    if (!Effect.helps())
      continue;
    double Share = Effect.SquaredError / Effect.RouteSquaredError;
    const detail::trait_value *Value = Effect.find(Hashes[Index]);
    if (Value && Share < BestShare) {
      Best = Value;
      BestShare = Share;
    }
  }
  return Best ? Best->Times.Mean / Route.Average.Mean : 1;
}

void cost_model::refresh(route &Route) {
  Route.Curve = Route.Times.curve();
  Route.SinceCurve = 0;
}

cost_estimate cost_model::estimate(const request_traits &Request) {
  route &Route = routeOf(Request);
  return {Route.Curve, stretchOf(Route, Request)};
}

void cost_model::recordAnswer(const request_traits &Request,
                              microseconds Time) {
  route &Route = routeOf(Request);
  double Milliseconds = inMilliseconds(Time);
  double Expected = Route.Curve->Mean * stretchOf(Route, Request);
  accuracy &Accuracy = Route.Accuracy;
  ++Accuracy.Answers;
  auto Average = [&](double &Mean, double Value) {
    Mean += (Value - Mean) / static_cast<double>(Accuracy.Answers);
  };
  Average(Accuracy.ExpectedMean, Expected);
  Average(Accuracy.TrueMean, Milliseconds);
  Average(Accuracy.MeanAbsoluteError, std::abs(Expected - Milliseconds));
  auto Hashes = hashesOf(Request);
  for (std::size_t Index = 0; Index < Traits; ++Index)
    Route.Effects[Index].record(Hashes[Index], Milliseconds, Route.Average);
  Route.Average.add(Milliseconds);
  Route.Times.recordEnd(Milliseconds, 1);
  if (++Route.SinceCurve >= CurveRefresh)
    refresh(Route);
}

void cost_model::recordCensored(const request_traits &Request,
                                microseconds Time) {
  route &Route = routeOf(Request);
  Route.Times.recordCensored(inMilliseconds(Time));
  if (++Route.SinceCurve >= CurveRefresh)
    refresh(Route);
}

std::vector<cost_model::accuracy> cost_model::takeAccuracy(std::size_t Count) {
  std::vector<accuracy> Taken;
  for (route &Route : Routes | std::views::values) {
    if (Route.Accuracy.Answers > 0)
      Taken.push_back(Route.Accuracy);
    Route.Accuracy = {Route.Accuracy.Route};
  }
  std::ranges::sort(Taken, std::greater{}, &accuracy::Answers);
  Taken.resize(std::min(Taken.size(), Count));
  return Taken;
}

} // namespace endiverail
