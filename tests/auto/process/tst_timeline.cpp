#include "process/timeline.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("hybrid time is monotonic and follows observed times") {
  hybrid_clock Clock;
  wall_time Wall{1'000'000ms};
  hybrid_time First = Clock.tick(Wall);
  hybrid_time Second = Clock.tick(Wall - 500ms);
  CHECK(Second > First);
  Clock.observe({1'000'500, 3}, Wall);
  CHECK(Clock.tick(Wall) > hybrid_time{1'000'500, 3});
}

TEST_CASE("a peer whose clock is far ahead does not advance the local clock") {
  hybrid_clock Clock;
  wall_time Wall{1'000'000ms};
  Clock.observe({900'000'000, 0}, Wall);
  CHECK(Clock.tick(Wall).WallMilliseconds == 1'000'000);
}

TEST_CASE("the timeline keeps the latest events") {
  timeline Events(3);
  for (int Count = 0; Count < 5; ++Count)
    Events.record(event_kind::Started, "", std::to_string(Count), "");
  auto Kept = Events.since({});
  REQUIRE(Kept.size() == 3);
  CHECK(Kept.front().Subject == "2");
  CHECK(Events.since(Kept[1].Time).size() == 1);
}
