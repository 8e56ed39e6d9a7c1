#include "process/outlier_detector.h"

#include <catch2/catch.hpp>

#include <optional>
#include <random>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

constexpr double Baseline = 0.01;

/// Sends signals at a fixed rate until the server should be ejected; returns
/// the time that this took.
std::optional<milliseconds> timeToEjection(double BadShare, milliseconds Gap,
                                           milliseconds Duration,
                                           std::uint64_t Seed) {
  outlier_detector Detector;
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Bad(BadShare);
  steady_time Start{1h};
  for (milliseconds Time = 0ms; Time < Duration; Time += Gap) {
    Detector.observe(Bad(Random) ? attempt_signal::Failed
                                 : attempt_signal::Good,
                     Baseline, Start + Time);
    if (Detector.shouldEject())
      return Time;
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("a failing backend server is ejected within two seconds") {
  // At 20 requests per second.
  for (double BadShare : {1.0, 0.9, 0.7}) {
    std::size_t InTime = 0;
    for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed)
      InTime += timeToEjection(BadShare, 50ms, 2000ms, Seed).has_value();
    INFO("share of bad signals " << BadShare);
    CHECK(InTime >= 990);
  }
}

TEST_CASE("a single burst of slow answers ejects no server") {
  outlier_detector Detector;
  steady_time Start{1h};
  for (int Count = 0; Count < 100; ++Count)
    Detector.observe(attempt_signal::Slow, Baseline, Start + 1ms * Count);
  CHECK_FALSE(Detector.shouldEject());
}

TEST_CASE("random errors of one in a hundred requests eject no server") {
  CHECK_FALSE(timeToEjection(0.01, 50ms, 10h, 7).has_value());
}

TEST_CASE("shed answers are no evidence") {
  outlier_detector Detector;
  for (int Count = 0; Count < 1000; ++Count)
    Detector.observe(attempt_signal::Shed, Baseline,
                     steady_time{1h} + 100ms * Count);
  CHECK(Detector.suspicion() == 0);
}

TEST_CASE("a server that fails as often as its pool is not ejected") {
  outlier_detector Detector;
  std::mt19937_64 Random(3);
  std::bernoulli_distribution Bad(0.4);
  for (int Count = 0; Count < 20'000; ++Count)
    Detector.observe(Bad(Random) ? attempt_signal::Failed
                                 : attempt_signal::Good,
                     0.4, steady_time{1h} + 50ms * Count);
  CHECK_FALSE(Detector.shouldEject());
}

TEST_CASE("no server is suspected when most of the pool fails") {
  for (double Baseline : {0.55, 0.7, 0.9}) {
    INFO(Baseline);
    outlier_detector Detector;
    for (int Count = 0; Count < 1'000; ++Count)
      Detector.observe(attempt_signal::Failed, Baseline,
                       steady_time(1h) + Count * 100ms);
    CHECK_FALSE(Detector.suspected());
  }
}
