#include "connection/response_progress.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace endiverail;

TEST_CASE("a response fits its head only with all bytes of its length") {
  struct row {
    const char *What;
    bool ToHead;
    int Status;
    std::optional<std::uint64_t> Length;
    std::vector<std::size_t> Pieces;
    bool Fits;
  };
  const row Rows[]{
      {"whole", false, 200, 5, {2, 3}, true},
      {"empty", false, 200, 0, {}, true},
      {"short", false, 200, 5, {2, 2}, false},
      {"without its body", false, 200, 5, {}, false},
      {"long", false, 200, 5, {2, 4}, false},
      {"a body beside a length of 0", false, 200, 0, {1}, false},
      {"unknown length", false, 200, std::nullopt, {2, 4}, true},
      {"to HEAD", true, 200, 5, {}, true},
      {"to HEAD, with a body", true, 200, 5, {5}, true},
      {"no content", false, 204, 5, {}, true},
      {"not modified", false, 304, 5, {}, true},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    response_progress Progress(Row.ToHead);
    response_head Head;
    Head.Status = Row.Status;
    Head.Length = Row.Length;
    REQUIRE(Progress.begin(Head));
    bool Fits = std::ranges::all_of(
        Row.Pieces, [&](std::size_t Piece) { return Progress.add(Piece); });
    CHECK((Fits && Progress.end()) == Row.Fits);
  }
}

TEST_CASE("a response has exactly one head, before its body and its end") {
  response_progress Progress(false);
  CHECK_FALSE(Progress.add(1));
  CHECK_FALSE(Progress.end());
  CHECK(Progress.begin(response_head{}));
  CHECK_FALSE(Progress.begin(response_head{}));
}
