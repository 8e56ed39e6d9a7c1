#include "operator/request_story.h"

#include <catch2/catch.hpp>

using namespace endiverail;

namespace {

std::string line(std::string_view Second, std::string_view Rest) {
  return R"({"time":"2026-01-01T00:00:)" + std::string(Second) +
         R"(.000Z","level":"info",)" + std::string(Rest) + "}\n";
}

} // namespace

TEST_CASE("a request's story is merged from the logs of several daemons") {
  std::vector<log_text> Logs{
      {"a", line("03", R"("event":"error_answered","request":"r1")") +
                line("01", R"("event":"attempt_failed","request":"r1")") +
                line("02", R"("event":"store_lost","version":7)") +
                line("09", R"("event":"store_regained","version":7)") +
                line("01", R"("event":"attempt_failed","request":"r2")")},
      {"b", line("02", R"("event":"store_lost")") +
                line("05", R"("event":"caller_gone","request":"r1")")},
  };
  request_story Story = tellStory("r1", Logs);
  REQUIRE(Story.Lines.size() == 4);
  CHECK(Story.Lines[0].Fields["event"] == "attempt_failed");
  CHECK(Story.Lines[1].Fields["event"] == "store_lost");
  CHECK(Story.Lines[1].Source == "a");
  CHECK(Story.Lines[2].Fields["event"] == "error_answered");
  CHECK(Story.Lines[3].Source == "b");
  CHECK(storyText(Story).find("version=7") != std::string::npos);
}

TEST_CASE("torn and foreign lines are counted and skipped") {
  std::string Whole = line("01", R"("event":"attempt_failed","request":"r1")");
  std::vector<log_text> Logs{{"a", "prefix " + Whole + Whole.substr(0, 40) +
                                       "\nhello\n[1,2]\n\n{}\n"}};
  request_story Story = tellStory("r1", Logs);
  CHECK(Story.Lines.size() == 1);
  CHECK(Story.Skipped == 4);
  CHECK(tellStory("r3", Logs).Lines.empty());
  CHECK(storyText(tellStory("r3", Logs)).find("no line") != std::string::npos);
}
