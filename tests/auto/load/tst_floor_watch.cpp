#include "failure_check.h"
#include "load/floor_watch.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("ejections at the same time are told from those one after another") {
  struct row {
    const char *What;
    std::vector<std::vector<endpoint_text>> Samples;
    std::size_t Most;
    bool Clean;
  };
  const row Rows[]{
      {"none", {{}, {}}, 0, true},
      {"within the budget", {{"a"}, {"a"}}, 1, true},
      {"one after another", {{"a"}, {"b"}, {"a"}}, 0, true},
      {"handed from one to the next", {{"a"}, {"a", "b"}, {"b"}}, 1, true},
      {"beyond the budget", {{"a", "b"}, {"a", "b"}}, 2, false},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    floor_watch Watch;
    for (const auto &Ejected : Row.Samples)
      Watch.note(std::vector{service_sample{"s", 3, 4, Ejected}});
    REQUIRE(Watch.rows().size() == 1);
    CHECK(Watch.rows()[0].MostEjected == Row.Most);
    CHECK(Watch.clean() == Row.Clean);
  }
  CHECK_FALSE(floor_watch().clean());
}

TEST_CASE("a raised floor counts once it is in force everywhere") {
  floor_watch Watch;
  Watch.note(std::vector{service_sample{"s", 3, 4, {"a"}}});
  Watch.note(std::vector{service_sample{"s", 4, 4, {"a"}}});
  CHECK(Watch.clean());
  Watch.note(std::vector{service_sample{"s", 4, 4, {"a"}}});
  CHECK_FALSE(Watch.clean());
}

TEST_CASE("what several daemons say is put together") {
  auto Status = [](int Floor, const char *Server, const char *Standing) {
    return R"({"in_force":[{"service":"s","pool_size":4,"floor":)" +
           std::to_string(Floor) +
           R"(}],"servers":[{"service":"s","server":")" + Server +
           R"(","standing":")" + Standing + R"("}]})";
  };
  std::vector<service_sample> Sample;
  auto Add = [&](const std::string &Text) {
    return failureOf([&] { return addStatus(Text, Sample); });
  };
  CHECK_FALSE(Add(Status(3, "b", "ejected")));
  CHECK_FALSE(Add(Status(2, "a", "ejected")));
  CHECK_FALSE(Add(Status(3, "b", "ejected")));
  CHECK_FALSE(Add(Status(3, "c", "serving")));
  REQUIRE(Sample.size() == 1);
  CHECK(Sample[0].Floor == 2);
  CHECK(Sample[0].Ejected == std::vector<endpoint_text>{"a", "b"});
  CHECK(Add("nonsense") == error_kind::BadRecord);
  CHECK(Add("{}") == error_kind::BadRecord);
}
