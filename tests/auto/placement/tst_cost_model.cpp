#include "placement/cost_model.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <string>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

request_traits request(std::string_view Route = "read") {
  return {Route, "GET", "/items/7", 0, "a", 4'000ms};
}

microseconds inMicroseconds(double Milliseconds) {
  return microseconds(static_cast<std::int64_t>(Milliseconds * 1'000));
}

/// Request times with this mean and a logarithmic deviation of 0.5.
class request_times {
public:
  explicit request_times(double Mean) : Times(std::log(Mean) - 0.125, 0.5) {}
  double next() { return Times(Random); }

private:
  std::mt19937_64 Random{1};
  std::lognormal_distribution<double> Times;
};

} // namespace

TEST_CASE("a new route costs a quarter of its latency target") {
  cost_model Model;
  CHECK(Model.estimate(request()).mean() == Approx(1'000).epsilon(0.3));
}

TEST_CASE("the mean and the tail of a route are learned") {
  cost_model Model;
  request_times Times(300);
  for (int Answer = 0; Answer < 400; ++Answer)
    Model.recordAnswer(request(), inMicroseconds(Times.next()));
  cost_estimate Estimate = Model.estimate(request());
  CHECK(Estimate.mean() == Approx(300).epsilon(0.15));
  CHECK(Estimate.percentile95() == Approx(603).epsilon(0.3));
}

TEST_CASE("requests given up early do not make a route look cheap") {
  cost_model Model;
  request_times Times(800);
  for (int Answer = 0; Answer < 600; ++Answer) {
    double Time = Times.next();
    if (Time > 900)
      Model.recordCensored(request(), 900ms);
    else
      Model.recordAnswer(request(), inMicroseconds(Time));
  }
  CHECK(Model.estimate(request()).mean() > 700);
}

TEST_CASE("failures within a few milliseconds do not make a route look cheap") {
  cost_model Model;
  request_times Times(800);
  for (int Answer = 0; Answer < 600; ++Answer) {
    Model.recordCensored(request(), 2ms);
    Model.recordAnswer(request(), inMicroseconds(Times.next()));
  }
  CHECK(Model.estimate(request()).mean() == Approx(800).epsilon(0.2));
}

TEST_CASE("the estimate follows a route whose cost changes") {
  cost_model Model;
  for (int Answer = 0; Answer < 1'000; ++Answer)
    Model.recordAnswer(request(), 100ms);
  for (int Answer = 0; Answer < 600; ++Answer)
    Model.recordAnswer(request(), 1'000ms);
  CHECK(Model.estimate(request()).mean() > 850);
}

TEST_CASE("a request that has run for long has more left than a usual one") {
  cost_model Model;
  for (int Answer = 0; Answer < 400; ++Answer)
    Model.recordAnswer(request(), Answer % 10 == 0 ? 3'000ms : 100ms);
  cost_estimate Estimate = Model.estimate(request());
  CHECK(Estimate.remainingAfter(0ms) < 500);
  CHECK(Estimate.remainingAfter(500ms) > 1'500);
  CHECK(Estimate.remainingAfter(2'500ms) < 1'500);
}

TEST_CASE("a trait is used where requests differ by it") {
  auto [Small, Large] = GENERATE(
      std::pair(request_traits{"r", "GET", "/a/1", 10, "x", 4'000ms},
                request_traits{"r", "GET", "/a/1", 9'000, "x", 4'000ms}),
      std::pair(request_traits{"r", "GET", "/a/1/2", 10, "x", 4'000ms},
                request_traits{"r", "GET", "/b/1/2", 10, "x", 4'000ms}),
      std::pair(request_traits{"r", "GET", "/a/1", 10, "x", 4'000ms},
                request_traits{"r", "GET", "/a/1", 10, "y", 4'000ms}));
  cost_model Model;
  request_times Times(1);
  for (int Answer = 0; Answer < 400; ++Answer) {
    Model.recordAnswer(Small, inMicroseconds(100 * Times.next()));
    Model.recordAnswer(Large, inMicroseconds(1'300 * Times.next()));
  }
  CHECK(Model.estimate(Small).mean() == Approx(100).epsilon(0.5));
  CHECK(Model.estimate(Large).mean() == Approx(1'300).epsilon(0.5));
}

TEST_CASE("a trait that tells nothing leaves the estimate of the route") {
  cost_model Model;
  request_times Times(300);
  for (int Answer = 0; Answer < 800; ++Answer) {
    request_traits Request = request();
    Request.Organisation = Answer % 2 == 0 ? "a" : "b";
    Model.recordAnswer(Request, inMicroseconds(Times.next()));
  }
  CHECK(Model.estimate(request()).Stretch == 1);
}

TEST_CASE("the number of routes is bounded and the used ones are kept") {
  cost_model Model;
  for (int Answer = 0; Answer < 50; ++Answer)
    Model.recordAnswer(request("kept"), 20ms);
  for (std::size_t Route = 0; Route < 3 * cost_model::MaxRoutes; ++Route) {
    Model.recordAnswer(request("r" + std::to_string(Route)), 20ms);
    Model.estimate(request("kept"));
  }
  CHECK(Model.routes() == cost_model::MaxRoutes);
  CHECK(Model.estimate(request("kept")).mean() < 200);
}

TEST_CASE("the accuracy of the estimates is reported for the busiest routes") {
  cost_model Model;
  for (int Answer = 0; Answer < 100; ++Answer)
    Model.recordAnswer(request("busy"), 100ms);
  Model.recordAnswer(request("calm"), 100ms);
  auto Rows = Model.takeAccuracy(1);
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Route == "busy");
  CHECK(Rows[0].Answers == 100);
  CHECK(Rows[0].TrueMean == Approx(100));
  CHECK(Model.takeAccuracy(8).empty());
}
