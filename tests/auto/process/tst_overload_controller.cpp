#include "process/overload_controller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

constexpr auto Work = 10ms;
/// A refusal costs a fiftieth of a request.
constexpr auto RefusalWork = 200us;
constexpr auto PlayTime = 20s;

struct played {
  per_rank<std::size_t> Offered{};
  per_rank<std::size_t> Served{};
  steady_time::duration LongestWait{0};

  std::size_t served() const { return Served[0] + Served[1] + Served[2]; }
  double servedShare(rank Rank) const {
    return static_cast<double>(Served[rankIndex(Rank)]) /
           static_cast<double>(
               std::max<std::size_t>(1, Offered[rankIndex(Rank)]));
  }
};

/// Plays callers at \p Load times what a host can do against one that works off
/// its requests in turn.
played play(double Load) {
  struct arrival {
    steady_time At;
    rank Rank;
  };
  const steady_time Begin{1h};
  auto Gap = std::chrono::duration_cast<steady_time::duration>(Work / Load);
  overload_controller Overload;
  std::deque<arrival> Queue;
  played Result;
  steady_time Now = Begin;
  steady_time NextArrival = Begin;
  for (std::size_t Count = 0; Now < Begin + PlayTime;) {
    for (; NextArrival <= Now; NextArrival += Gap, ++Count) {
      rank Rank = AllRanks[Count % RankCount];
      ++Result.Offered[rankIndex(Rank)];
      if (Overload.refuses(Rank)) {
        Now += RefusalWork;
        continue;
      }
      Overload.recordAdmitted();
      Queue.push_back({NextArrival, Rank});
    }
    if (Queue.empty()) {
      Now = NextArrival;
      continue;
    }
    arrival First = Queue.front();
    Queue.pop_front();
    Overload.recordTakenUp(Now);
    Result.LongestWait = std::max(Result.LongestWait, Now - First.At);
    ++Result.Served[rankIndex(First.Rank)];
    Now += Work;
  }
  return Result;
}

} // namespace

TEST_CASE("a host with more requests than it can process serves as many as it "
          "can, the most urgent first, and lets none wait for long") {
  auto Load = GENERATE(0.5, 1.0, 2.0, 10.0);
  INFO("load " << Load);
  played Result = play(Load);
  auto Most = static_cast<double>(PlayTime / Work);
  CHECK(static_cast<double>(Result.served()) >
        0.8 * std::min(Load, 1.0) * Most);
  CHECK(Result.LongestWait < 500ms);
  if (Load <= 1.0) {
    CHECK(Result.servedShare(rank::Background) > 0.99);
  } else {
    CHECK(Result.servedShare(rank::Urgent) >= Result.servedShare(rank::Normal));
    CHECK(Result.servedShare(rank::Normal) >=
          Result.servedShare(rank::Background));
  }
  if (Load == 2.0)
    CHECK(Result.servedShare(rank::Urgent) > 0.95);
}

TEST_CASE("a single pause of the process is no overload") {
  overload_controller Overload;
  steady_time Now{1h};
  for (int Count = 0; Count < 4; ++Count)
    Overload.recordAdmitted();
  Overload.recordTakenUp(Now);
  Overload.recordTakenUp(Now + 1ms);
  Overload.recordTakenUp(Now + 700ms);
  CHECK_FALSE(Overload.refuses(rank::Background));
}

TEST_CASE("a host takes requests again at once when none wait any more") {
  constexpr int Requests = 20;
  overload_controller Overload;
  steady_time Now{1h};
  for (int Count = 0; Count < Requests; ++Count)
    Overload.recordAdmitted();
  for (int Count = 0; Count < Requests / 2; ++Count)
    Overload.recordTakenUp(Now += 100ms);
  CHECK(Overload.refuses(rank::Urgent));
  for (int Count = 0; Count < Requests / 2; ++Count)
    Overload.recordTakenUp(Now += 1ms);
  CHECK_FALSE(Overload.refuses(rank::Background));
}
