#pragma once

#include "base/time.h"
#include "placement/cost_curve.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What is known of a request before it runs.
struct request_traits {
  std::string_view Route;
  std::string_view Method;
  std::string_view Path;
  std::size_t BodyBytes = 0;
  std::string_view Organisation;
  /// Answers of the route should arrive within this time.
  milliseconds LatencyTarget{0};
};

namespace detail {

/// Observed times of one route. Requests whose end was not seen count for the
/// time that they are known to have lasted (product-limit estimate).
class cost_histogram {
public:
  /// Starts with a prior around a quarter of the latency target.
  explicit cost_histogram(milliseconds LatencyTarget);

  void recordEnd(double Milliseconds, double Weight);
  void recordCensored(double Milliseconds);
  std::shared_ptr<const cost_curve> curve() const;

private:
  void age();

  std::array<double, cost_scale::Intervals> Ended{};
  std::array<double, cost_scale::Intervals> Censored{};
};

/// Fading averages of the times of requests.
struct time_average {
  double Mean = 0;
  double MeanLogarithm = 0;
  double Weight = 0;

  void add(double Milliseconds);
};

/// The times of a route's requests with one value of a trait.
struct trait_value {
  std::uint64_t Hash = 0;
  time_average Times;
};

/// A trait that may tell more about the time than the route alone. It is used
/// only while predictions by it have been better.
struct trait_effect {
  std::vector<trait_value> Values;
  double SquaredError = 0;
  double RouteSquaredError = 0;

  const trait_value *find(std::uint64_t Hash) const;
  bool helps() const;
  void record(std::uint64_t Hash, double Milliseconds,
              const time_average &OfRoute);
};

} // namespace detail

/// Learns what requests cost a server from those that have ended. It has no
/// clock; the newest observations weigh most. Its memory is bounded.
class cost_model {
public:
  static constexpr std::size_t MaxRoutes = 256;

  cost_estimate estimate(const request_traits &Request);
  /// Records that the server has worked for this time and answered.
  void recordAnswer(const request_traits &Request, microseconds Time);
  /// Records that the request was given up or failed after this time. What it
  /// would have cost is not known, except that it is no less.
  void recordCensored(const request_traits &Request, microseconds Time);

  /// Estimates of a route against the times seen since they were last taken.
  struct accuracy {
    std::string Route;
    std::size_t Answers = 0;
    double ExpectedMean = 0;
    double TrueMean = 0;
    double MeanAbsoluteError = 0;
  };
  /// Takes the accuracy of the routes with the most answers, at most \p Count
  /// of them. Times are in milliseconds.
  std::vector<accuracy> takeAccuracy(std::size_t Count);
  std::size_t routes() const { return Routes.size(); }

private:
  static constexpr std::size_t Traits = 4;

  struct route {
    explicit route(milliseconds LatencyTarget) : Times(LatencyTarget) {}
    detail::cost_histogram Times;
    std::array<detail::trait_effect, Traits> Effects;
    detail::time_average Average;
    std::shared_ptr<const cost_curve> Curve;
    std::size_t SinceCurve = 0;
    std::uint64_t LastUsed = 0;
    accuracy Accuracy;
  };

  route &routeOf(const request_traits &Request);
  static std::array<std::uint64_t, Traits>
  hashesOf(const request_traits &Request);
  static double stretchOf(const route &Route, const request_traits &Request);
  static void refresh(route &Route);

  std::map<std::string, route, std::less<>> Routes;
  std::uint64_t Uses = 0;
};

} // namespace endiverail
