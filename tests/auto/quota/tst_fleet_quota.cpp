#include "failure_check.h"
#include "quota/fleet_quota.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> members(int Count) {
  std::vector<std::string> Ids;
  for (int Index = 0; Index < Count; ++Index)
    Ids.push_back("m" + std::to_string(Index));
  return Ids;
}

} // namespace

TEST_CASE("a member that goes moves only the organisations that it "
          "coordinated") {
  auto All = members(40);
  auto Fewer = All;
  std::erase(Fewer, "m7");
  std::map<std::string, int> Load;
  for (int Index = 0; Index < 4'000; ++Index) {
    std::string Organisation = "o" + std::to_string(Index);
    std::string Before(quotaCoordinator(Organisation, All));
    ++Load[Before];
    if (Before != "m7")
      CHECK(quotaCoordinator(Organisation, Fewer) == Before);
  }
  CHECK(Load.size() == All.size());
  for (const auto &[Member, Count] : Load) {
    INFO(Member);
    CHECK(Count < 200);
  }
}

TEST_CASE("a report goes to the coordinators of its organisations") {
  fleet_quota Quota({}, "m0");
  Quota.setMembers(members(5), {}, {});
  quota_report Report{3, 9s, {}};
  for (int Index = 0; Index < 50; ++Index)
    Report.Uses.push_back({"o" + std::to_string(Index), Index, Index, 0});
  std::size_t Uses = 0;
  for (const addressed_report &Part : Quota.route(Report)) {
    CHECK(Part.Report.Incarnation == 3);
    CHECK(Part.Report.Uptime == 9s);
    Uses += Part.Report.Uses.size();
    for (const quota_use &Use : Part.Report.Uses)
      CHECK(quotaCoordinator(Use.Organisation, members(5)) == Part.Coordinator);
  }
  CHECK(Uses == 50);
}

TEST_CASE("organisations without a quota are not counted") {
  fleet_quota Quota({}, "m0");
  auto Table = valueFrom([] {
    return organisation_table::build(
        {{{"free", {}, {}}, {}}, {{"limited", {}, {10, 10}}, {}}});
  });
  steady_time Now{1h};
  auto Shares = Quota.count(
      "m1",
      {1, 60s, {{"free", 9, 9, 9}, {"gone", 9, 9, 9}, {"limited", 1, 1, 1}}},
      *Table, Now);
  REQUIRE(Shares.size() == 3);
  for (const quota_share &Share : Shares)
    CHECK(Share.Share >= 1);
  CHECK(Quota.ledger().size() == 1);
}
