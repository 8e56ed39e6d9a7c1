#include "failure_check.h"
#include "files/log_codec.h"
#include "files/record_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a page of the log skips what it can't read and says so") {
  nlohmann::json Page{{"first", 1},
                      {"next", 4},
                      {"end", 9},
                      {"now_ms", 1000},
                      {"retention_ms", 5000},
                      {"records",
                       {{{"offset", 1}, {"time_ms", 10}, {"data", "torn {"}},
                        {{"offset", 2},
                         {"time_ms", 20},
                         {"data", encodeRecord(rejection{"s", "h", ""})}},
                        {{"offset", 3}, {"time_ms", 30}, {"data", ""}}}}};
  log_page Read = valueOf(decodeLogPage(Page.dump()));
  CHECK(Read.Next == 4);
  CHECK(Read.End == 9);
  REQUIRE(Read.Entries.size() == 1);
  CHECK(Read.Entries[0].Offset == 2);
  REQUIRE(Read.Skipped.size() == 2);
  CHECK(Read.Skipped[0].starts_with("offset 1"));
}

TEST_CASE("an answer that is no page is a failure of the log") {
  for (const char *Text : {"", "{}", "[]", "<html>", R"({"first": -1})"}) {
    INFO(Text);
    CHECK(failureOf([&] { return decodeLogPage(Text); }) ==
          error_kind::BadRecord);
  }
}
