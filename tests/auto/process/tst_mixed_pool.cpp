#include "mixed_pool.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

mixed_result simulate(mixed_load Load, known_cost Known) {
  Load.Known = Known;
  return mixed_pool(Load).simulate();
}

void print(std::string_view Name, mixed_result &Result) {
  auto Print = [&](std::string_view Kind, mixed_result::kind &Of) {
    UNSCOPED_INFO(Name << ", " << Kind << ": in time " << Of.inTime()
                       << ", p99 " << Of.percentile99() << " ms, rejected "
                       << Of.Rejected << " of " << Of.Submitted);
  };
  Print("short", Result.Short);
  Print("long", Result.Long);
}

/// Entries hear of each other twice a second.
void checkServedBetter(double LongRate, std::uint64_t Seed) {
  mixed_load Load;
  Load.LongRate = LongRate;
  Load.Seed = Seed;
  mixed_result ByCount = simulate(Load, known_cost::UsualTime);
  mixed_result ByWork = simulate(Load, known_cost::Learned);
  print("by count", ByCount);
  print("by work", ByWork);
  CHECK(ByWork.Short.inTime() > ByCount.Short.inTime());
  CHECK(ByWork.Long.inTime() >= ByCount.Long.inTime());
  CHECK(ByWork.Short.percentile99() < ByCount.Short.percentile99());
  CHECK(ByWork.Long.percentile99() <= ByCount.Long.percentile99());
}

} // namespace

TEST_CASE("short requests are served better by the work that servers have "
          "left, long ones no worse, with two thirds of the slots in use") {
  checkServedBetter(180, 3);
}

TEST_CASE("short requests are served better by the work that servers have "
          "left, long ones no worse, with five sixths of the slots in use",
          "[five_sixths]") {
  checkServedBetter(230, 4);
}

TEST_CASE("placing by known costs, to compare with", "[.oracle]") {
  mixed_load Load;
  auto [LongRate, Seed] = GENERATE(std::pair(180.0, 3), std::pair(230.0, 4));
  Load.LongRate = LongRate;
  Load.Seed = Seed;
  mixed_result Exact = simulate(Load, known_cost::Exact);
  print("exact", Exact);
  SUCCEED();
}

TEST_CASE("entries with old reports do not choose the same servers when they "
          "draw two") {
  // Requests of one kind, for about two thirds of the slots.
  mixed_load Load;
  Load.LongRate = 0;
  Load.ShortRate = 560;
  Load.MeanWork[0] = 420;
  Load.ShortTarget = milliseconds(1'500);
  Load.Length = std::chrono::seconds(30);
  mixed_result Compared = simulate(Load, known_cost::UsualTime);
  Load.SamplesServers = true;
  mixed_result Drawn = simulate(Load, known_cost::UsualTime);
  auto Print = [](std::string_view Name, mixed_result::kind &Of) {
    UNSCOPED_INFO(Name << ": in time " << Of.inTime() << ", p99 "
                       << Of.percentile99() << " ms, rejected " << Of.Rejected);
  };
  Print("all compared", Compared.Short);
  Print("two drawn", Drawn.Short);
  CHECK(Drawn.Short.inTime() > Compared.Short.inTime());
  CHECK(Drawn.Short.percentile99() < Compared.Short.percentile99());
}
