#include "placement/cost_model.h"
#include "placement/pool_work.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

cost_estimate constantCost(cost_model &Model, std::string_view Route,
                           milliseconds Time) {
  request_traits Request{Route, "GET", "/", 0, "", 4'000ms};
  for (int Answer = 0; Answer < 400; ++Answer)
    Model.recordAnswer(Request, Time);
  return Model.estimate(Request);
}

} // namespace

TEST_CASE("requests of equal cost make no mixed pool") {
  cost_model Model;
  pool_work Work;
  for (int Start = 0; Start < 100; ++Start)
    Work.recordStart(constantCost(Model, Start % 2 ? "a" : "b", 300ms), 0);
  CHECK_FALSE(Work.isMixed());
}

TEST_CASE("short and long requests make a mixed pool") {
  cost_model Model;
  cost_estimate Short = constantCost(Model, "a", 100ms);
  cost_estimate Long = constantCost(Model, "b", 1'300ms);
  pool_work Work;
  for (int Start = 0; Start < 100; ++Start)
    Work.recordStart(Start % 2 ? Short : Long, Start % 2 ? 700 : 9'000);
  CHECK(Work.isMixed());
  // Long requests are what one finds running most of the time.
  CHECK(Work.meanRemaining() > 400);
  CHECK(Work.slackOfShort() == Approx(700).epsilon(0.01));
}

TEST_CASE("the work left at a server falls as its requests run") {
  steady_time Now{1h};
  cost_model Model;
  server_work_left Left;
  Left.add(1, constantCost(Model, "b", 1'300ms), Now);
  double Fresh = Left.remaining(Now);
  CHECK(Left.remaining(Now + 900ms) < Fresh / 2);
  Left.remove(1);
  CHECK(Left.remaining(Now) == 0);
}
