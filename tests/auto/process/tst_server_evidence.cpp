#include "process/server_evidence.h"

#include <catch2/catch.hpp>

#include <optional>
#include <random>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

constexpr double Baseline = 0.01;

/// Signals at a steady rate until condemned; how long that took.
std::optional<milliseconds> timeToCondemn(double BadShare, milliseconds Gap,
                                          milliseconds Most,
                                          std::uint64_t Seed) {
  server_evidence Evidence;
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Bad(BadShare);
  steady_time Start{1h};
  for (milliseconds Time = 0ms; Time < Most; Time += Gap) {
    Evidence.observe(Bad(Random) ? attempt_signal::Failed
                                 : attempt_signal::Good,
                     Baseline, Start + Time);
    if (Evidence.condemned())
      return Time;
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("a failing backend server is condemned within two seconds") {
  // 20 requests a second.
  for (double BadShare : {1.0, 0.9, 0.7}) {
    std::size_t InTime = 0;
    for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed)
      InTime += timeToCondemn(BadShare, 50ms, 2000ms, Seed).has_value();
    INFO("share of bad signals " << BadShare);
    CHECK(InTime >= 990);
  }
}

TEST_CASE("one burst of slow answers condemns nobody") {
  server_evidence Evidence;
  steady_time Start{1h};
  for (int Count = 0; Count < 100; ++Count)
    Evidence.observe(attempt_signal::Slow, Baseline, Start + 1ms * Count);
  CHECK_FALSE(Evidence.condemned());
}

TEST_CASE("random errors of one in a hundred condemn nobody") {
  CHECK_FALSE(timeToCondemn(0.01, 50ms, 10h, 7).has_value());
}

TEST_CASE("shed answers are no evidence") {
  server_evidence Evidence;
  for (int Count = 0; Count < 1000; ++Count)
    Evidence.observe(attempt_signal::Shed, Baseline,
                     steady_time{1h} + 100ms * Count);
  CHECK(Evidence.suspicion() == 0);
}

TEST_CASE("a server that fails as its whole pool does is not condemned") {
  server_evidence Evidence;
  std::mt19937_64 Random(3);
  std::bernoulli_distribution Bad(0.4);
  for (int Count = 0; Count < 20'000; ++Count)
    Evidence.observe(Bad(Random) ? attempt_signal::Failed
                                 : attempt_signal::Good,
                     0.4, steady_time{1h} + 50ms * Count);
  CHECK_FALSE(Evidence.condemned());
}

TEST_CASE("where most of the pool fails, none of its servers is blamed") {
  for (double Baseline : {0.55, 0.7, 0.9}) {
    INFO(Baseline);
    server_evidence Evidence;
    for (int Count = 0; Count < 1'000; ++Count)
      Evidence.observe(attempt_signal::Failed, Baseline,
                       steady_time(1h) + Count * 100ms);
    CHECK_FALSE(Evidence.suspected());
  }
}
