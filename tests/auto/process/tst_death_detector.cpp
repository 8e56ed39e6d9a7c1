#include "process/death_detector.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

} // namespace

TEST_CASE("a server has died when all of its connections break together") {
  death_detector Detector;
  Detector.onStart("a", 1);
  Detector.onStart("a", 2);
  Detector.onDisconnect("a", 1, 11, Now);
  Detector.onDisconnect("a", 2, 22, Now + 10ms);
  CHECK(Detector.takeDeaths(Now + 20ms).empty());
  auto Deaths = Detector.takeDeaths(Now + death_detector::DetectionWindow);
  REQUIRE(Deaths.size() == 1);
  CHECK(Deaths[0].Server == "a");
  CHECK(Deaths[0].Running == std::vector<request_fingerprint>{11, 22});
  CHECK_FALSE(Detector.nextWake());
}

TEST_CASE("a single broken connection is not a server death") {
  struct row {
    const char *What;
    bool OtherEndsWell;
  };
  for (const row &Row : {row{"another attempt keeps running", false},
                         row{"another attempt is answered later", true}}) {
    INFO(Row.What);
    death_detector Detector;
    Detector.onStart("a", 1);
    Detector.onStart("a", 2);
    Detector.onDisconnect("a", 1, 11, Now);
    if (Row.OtherEndsWell)
      Detector.onEnd("a", 2);
    CHECK(Detector.takeDeaths(Now + death_detector::DetectionWindow).empty());
  }
}
