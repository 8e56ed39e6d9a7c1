#include "connection/memory_claim.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <vector>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("a caller that holds up the others gives way, in this order") {
  using enum memory_use;
  const steady_time Now{1h};
  auto Claim = [&](std::uint64_t Connection, memory_use Use, std::size_t Bytes,
                   milliseconds Still) {
    return memory_claim{Connection, Use, Bytes, Now - Still};
  };
  struct row {
    const char *What;
    std::vector<memory_claim> Claims;
    memory_claim Wanted;
    std::optional<std::uint64_t> Chosen;
  };
  const memory_claim Request = Claim(1, IncompleteRequest, 100, 0ms);
  const memory_claim Answer = Claim(1, UnreadAnswer, 100, 0ms);
  const row Rows[]{
      {"nobody else", {Request}, Request, std::nullopt},
      {"the longest stalled first",
       {Claim(2, IncompleteRequest, 900, 1500ms),
        Claim(3, UnreadAnswer, 10, 2000ms)},
       Request,
       3},
      {"one that holds nothing",
       {Claim(2, IncompleteRequest, 0, 9000ms)},
       Request,
       std::nullopt},
      {"a request in progress",
       {Claim(2, RequestInProgress, 900, 9000ms)},
       Request,
       std::nullopt},
      {"the largest request that still comes",
       {Claim(2, IncompleteRequest, 300, 0ms),
        Claim(3, IncompleteRequest, 400, 0ms)},
       Request,
       3},
      {"requests of about the same size",
       {Claim(2, IncompleteRequest, 199, 0ms)},
       Request,
       std::nullopt},
      {"an answer that is being read, for a request",
       {Claim(2, UnreadAnswer, 900, 900ms)},
       Request,
       std::nullopt},
      {"an answer that is being read, for an answer",
       {Claim(2, UnreadAnswer, 10, 100ms), Claim(3, UnreadAnswer, 10, 900ms)},
       Answer,
       3},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(chooseEviction(Row.Claims, Row.Wanted, Now) == Row.Chosen);
  }
}
