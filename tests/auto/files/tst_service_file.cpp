#include "failure_check.h"
#include "files/service_file.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const std::string Good = R"({
  "service": "reservations", "pool_size": 20, "floor": 14,
  "share_percent": {"urgent": 50},
  "kinds": [{"name": "hold", "method": "POST", "path": "/reservations/holds",
             "rank": "urgent", "idempotent": false, "target_ms": 200}]
})";

std::string changed(const std::string &From, const std::string &To) {
  std::string Text = Good;
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

TEST_CASE("a service's file is read, with defaults") {
  service_file File = valueOf(readServiceFile("f", Good));
  CHECK(File.Definition.Name == "reservations");
  CHECK(File.Definition.Pool == "reservations");
  CHECK(File.Definition.SharePercent == per_rank<std::size_t>{50, 25, 10});
  REQUIRE(File.Definition.Kinds.size() == 1);
  CHECK(File.Definition.Kinds[0].Rank == rank::Urgent);
  CHECK_FALSE(File.Definition.Kinds[0].Idempotent);
  CHECK(File.Definition.findKind("POST", "/reservations/holds"));
  CHECK_FALSE(File.Definition.findKind("GET", "/reservations/holds"));
}

TEST_CASE("blanks and the order of fields make no other content") {
  std::string Other = R"({"floor":14,"pool_size":20,"service":"reservations",
  "kinds":[{"path":"/reservations/holds","name":"hold","method":"POST",
  "idempotent":false,"target_ms":200,"rank":"urgent"}],
  "share_percent":{"urgent":50}})";
  CHECK(valueOf(readServiceFile("f", Good)).ContentHash ==
        valueOf(readServiceFile("f", Other)).ContentHash);
  CHECK(valueOf(readServiceFile("f", changed("14", "15"))).ContentHash !=
        valueOf(readServiceFile("f", Good)).ContentHash);
}

TEST_CASE("each mistake is named with its file and place") {
  struct row {
    std::string Text;
    const char *Line;
  };
  const row Rows[]{
      {changed("\"floor\": 14", "\"floor\": 21"), "f:/floor: "},
      {changed("\"floor\": 14", "\"floor\": -1"), "f:/floor: "},
      {changed("\"floor\": 14", "\"floor\": \"14\""), "f:/floor: "},
      {changed("\"floor\": 14,", ""), "f:/floor: "},
      {changed("\"floor\"", "\"flor\""), "f:/flor: unknown field"},
      {changed("\"urgent\", \"idem", "\"urgnt\", \"idem"), "f:/kinds/0/rank: "},
      {changed("POST", "BREW"), "f:/kinds/0/method: "},
      {changed("/reservations/holds", "/other/holds"), "f:/kinds/0/path: "},
      {changed("/reservations/holds", "/reservations/h*"), "f:/kinds/0/path: "},
      {changed("\"idempotent\": false", "\"idempotent\": 0"),
       "f:/kinds/0/idempotent: "},
      {changed("\"target_ms\": 200", "\"target_ms\": 200, \"timeout_ms\": 100"),
       "f:/kinds/0/timeout_ms: "},
      {changed("{\"urgent\": 50}", "{\"urgent\": 90}"), "f:/share_percent: "},
      {changed("{\"urgent\": 50}", "{\"urgent\": 0}"),
       "f:/share_percent/urgent: "},
      {changed("\"reservations\", ", "\"Reservations!\", "), "f:/service: "},
      {R"({"service": "a", "pool_size": 1, "floor": 0, "kinds": []})",
       "f:/kinds: "},
      {"[1, 2]", "f:: expected an object"},
      {"{\"service\": ", "f:byte "},
      {"", "f:byte "},
  };
  for (const row &Row : Rows) {
    INFO(Row.Text);
    std::string Detail =
        detailOf([&] { return readServiceFile("f", Row.Text); });
    INFO(Detail);
    CHECK(Detail.find(Row.Line) != std::string::npos);
  }
}

TEST_CASE("several mistakes are told in one run") {
  std::string Text = R"({"service": "a", "pool_size": 0, "flor": 1,
    "kinds": [{"name": "n", "method": "GET"}]})";
  std::string Detail = detailOf([&] { return readServiceFile("f", Text); });
  CHECK(std::ranges::count(Detail, '\n') >= 6);
}
