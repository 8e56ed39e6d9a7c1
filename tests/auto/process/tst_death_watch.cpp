#include "process/death_watch.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

} // namespace

TEST_CASE("a server on which all broke together has died") {
  death_watch Watch;
  Watch.onStart("a", 1);
  Watch.onStart("a", 2);
  Watch.onCut("a", 1, 11, Now);
  Watch.onCut("a", 2, 22, Now + 10ms);
  CHECK(Watch.takeDeaths(Now + 20ms).empty());
  auto Deaths = Watch.takeDeaths(Now + death_watch::Verdict);
  REQUIRE(Deaths.size() == 1);
  CHECK(Deaths[0].Server == "a");
  CHECK(Deaths[0].Running == std::vector<request_fingerprint>{11, 22});
  CHECK_FALSE(Watch.nextWake());
}

TEST_CASE("a single broken connection is no death") {
  struct row {
    const char *What;
    bool OtherEndsWell;
  };
  for (const row &Row : {row{"another runs on", false},
                         row{"another is answered after it", true}}) {
    INFO(Row.What);
    death_watch Watch;
    Watch.onStart("a", 1);
    Watch.onStart("a", 2);
    Watch.onCut("a", 1, 11, Now);
    if (Row.OtherEndsWell)
      Watch.onEnd("a", 2);
    CHECK(Watch.takeDeaths(Now + death_watch::Verdict).empty());
  }
}
