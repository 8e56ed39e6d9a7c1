#include "version/host_list_change.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace endiverail;

namespace {

bool sameRows(const host_list &Left, const host_list &Right) {
  return Left.Revision == Right.Revision &&
         std::ranges::is_permutation(Left.EntryHosts, Right.EntryHosts) &&
         Left.Servers == Right.Servers;
}

host_list randomChange(host_list List, std::mt19937_64 &Random) {
  auto Pick = [&](std::size_t Count) { return Random() % Count; };
  host_list_change Change{List.Revision, List.Revision + 1, {}, {}, {}, {}};
  std::string Name(1, static_cast<char>('a' + Pick(8)));
  switch (Pick(5)) {
  case 0:
    Change.RemovedServers = {Name};
    break;
  case 1:
    Change.RemovedEntryHosts = {Name};
    break;
  case 2:
    Change.EntryHosts = {{Name, "dc" + std::to_string(Pick(3)), Name + ":1"}};
    break;
  default:
    Change.Servers = {
        {Name, std::string(1, static_cast<char>('p' + Pick(2))), "dc",
         Pick(2) == 0 ? server_state::Live : server_state::Leaving}};
  }
  return applyChange(std::move(List), Change);
}

} // namespace

TEST_CASE("applying a change to an older host list yields the current one") {
  REQUIRE(rc::check([](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<host_list> Revisions(1);
    Revisions[0].Revision = 1;
    for (int Count = 0; Count < 40; ++Count)
      Revisions.push_back(randomChange(Revisions.back(), Random));
    // The sender of the changes has seen only some of the revisions.
    host_list_history History;
    host_list Known;
    std::size_t Applied = 0;
    for (const host_list &Next : Revisions) {
      if (Random() % 3 == 0)
        continue;
      History.record(Known, Next);
      Known = Next;
      for (const host_list &Older : Revisions) {
        if (Older.Revision >= Known.Revision)
          break;
        if (auto Change = History.since(Older.Revision, Known)) {
          RC_ASSERT(sameRows(applyChange(Older, *Change), Known));
          ++Applied;
        }
      }
    }
    RC_ASSERT(Applied > 100U);
  }));
}

TEST_CASE("a change contains only the rows that differ") {
  host_list Old;
  Old.Revision = 5;
  for (int Count = 0; Count < 1'000; ++Count)
    Old.Servers.push_back({"10.0.0." + std::to_string(Count), "p", "dc", {}});
  std::ranges::sort(Old.Servers, {}, &backend_server::Address);
  host_list New = Old;
  New.Revision = 6;
  New.Servers[7].State = server_state::Leaving;
  host_list_history History;
  History.record({}, Old);
  History.record(Old, New);
  auto Change = History.since(5, New);
  REQUIRE(Change);
  CHECK(Change->Servers.size() == 1);
  CHECK(Change->RemovedServers.empty());
  CHECK_FALSE(History.since(4, New));
  CHECK_FALSE(History.since(0, New));
}
