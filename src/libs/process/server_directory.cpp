#include "process/server_directory.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace endiverail {
namespace {

auto lifeOrder(const server_entry &Entry) {
  return std::tuple(Entry.Server.Started, Entry.Sequence);
}

/// Whether nothing has changed but what passes by itself.
bool isSameToUsers(backend_server Left, const backend_server &Right) {
  Left.ColdUntil = Right.ColdUntil;
  return Left == Right;
}

milliseconds coldLeft(const server_entry &Entry, steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(
      std::max(Entry.Server.ColdUntil - Now, steady_time::duration(0)));
}

} // namespace

bool server_directory::inGrace(steady_time Now) const {
  return StoreAway ||
         (StoreBack != steady_time{} && Now < StoreBack + ReturnGrace);
}

void server_directory::noteChange(std::string_view Id,
                                  server_change_kind Kind) {
  Changed = true;
  Changes.push_back({std::string(Id), Kind});
}

bool server_directory::accept(std::string_view Id, const server_entry &Entry,
                              bool Grace) {
  auto Kind = Entry.Server.State == server_state::Live
                  ? server_change_kind::Ready
                  : server_change_kind::Leaving;
  auto Found = Servers.find(Id);
  if (Found == Servers.end()) {
    Servers.emplace(std::string(Id), known_server{Entry, true, std::nullopt});
    noteChange(Id, Kind);
    return true;
  }
  known_server &Known = Found->second;
  if (lifeOrder(Entry) < lifeOrder(Known.Entry))
    return false;
  // A statement that is repeated does not bring back what was removed.
  if (!Known.Present && lifeOrder(Entry) == lifeOrder(Known.Entry) && !Grace)
    return false;
  bool New = !Known.Present || !isSameToUsers(Entry.Server, Known.Entry.Server);
  Known = {Entry, true, std::nullopt};
  if (New)
    noteChange(Id, Kind);
  return New;
}

void server_directory::apply(std::string_view Id, const server_entry &Entry,
                             steady_time Now) {
  if (Listed)
    Listed->emplace(Id);
  if (!accept(Id, Entry, inGrace(Now)))
    return;
  Statements.push_back({std::string(Id), Entry, coldLeft(Entry, Now), false});
}

void server_directory::learn(const server_statement &Statement,
                             steady_time Now) {
  if (Statement.Removed) {
    auto Found = Servers.find(Statement.Id);
    if (Found == Servers.end() || !Found->second.Present ||
        lifeOrder(Statement.Entry) < lifeOrder(Found->second.Entry))
      return;
    Found->second = {Statement.Entry, false, std::nullopt};
    noteChange(Statement.Id, server_change_kind::Gone);
    return;
  }
  server_entry Entry = Statement.Entry;
  if (Statement.ColdLeft.count() > 0)
    Entry.Server.ColdUntil = Now + Statement.ColdLeft;
  accept(Statement.Id, Entry, false);
}

std::vector<server_statement>
server_directory::allStatements(steady_time Now) const {
  std::vector<server_statement> All;
  for (const auto &[Id, Known] : Servers)
    if (Known.Present)
      All.push_back({Id, Known.Entry, coldLeft(Known.Entry, Now), false});
  return All;
}

std::uint64_t server_directory::digest() const {
  std::uint64_t Digest = 0;
  for (const auto &[Id, Known] : Servers)
    if (Known.Present)
      Digest ^= mixHashes(
          stableHash(Id, Known.Entry.Server.Address),
          static_cast<std::uint64_t>(Known.Entry.Server.Started) * 2 +
              (Known.Entry.Server.State == server_state::Live ? 1 : 0));
  return Digest;
}

void server_directory::removeKnown(std::string_view Id, known_server &Known,
                                   steady_time Now) {
  if (!Known.Present || Known.GoneAt)
    return;
  // One that was leaving has left; the grace is for those that lapsed.
  if (inGrace(Now) && Known.Entry.Server.State == server_state::Live) {
    Known.GoneAt = std::max(Now, StoreBack) + ReturnGrace;
    return;
  }
  Known.Present = false;
  noteChange(Id, server_change_kind::Gone);
  Statements.push_back({std::string(Id), Known.Entry, milliseconds(0), true});
}

void server_directory::remove(std::string_view Id, steady_time Now) {
  auto Found = Servers.find(Id);
  if (Found != Servers.end())
    removeKnown(Id, Found->second, Now);
}

void server_directory::keep(std::string_view Id) {
  if (Listed)
    Listed->emplace(Id);
}

void server_directory::beginListing() { Listed.emplace(); }

void server_directory::endListing(steady_time Now) {
  if (!Listed)
    return;
  for (auto &[Id, Known] : Servers)
    if (!Listed->contains(Id))
      removeKnown(Id, Known, Now);
  Listed.reset();
}

void server_directory::onStoreAway(steady_time) { StoreAway = true; }

void server_directory::onStoreBack(steady_time Now) {
  if (!std::exchange(StoreAway, false))
    return;
  StoreBack = Now;
  for (auto &[Id, Known] : Servers)
    if (Known.GoneAt)
      Known.GoneAt = Now + ReturnGrace;
}

bool server_directory::expire(steady_time Now) {
  bool Any = false;
  for (auto &[Id, Known] : Servers) {
    if (StoreAway || !Known.GoneAt || Now < *Known.GoneAt)
      continue;
    Known.GoneAt.reset();
    Known.Present = false;
    noteChange(Id, server_change_kind::Gone);
    Statements.push_back({Id, Known.Entry, milliseconds(0), true});
    Any = true;
  }
  return Any;
}

std::optional<steady_time> server_directory::nextWake() const {
  std::optional<steady_time> Next;
  if (StoreAway)
    return Next;
  for (const auto &[Id, Known] : Servers)
    if (Known.GoneAt && (!Next || *Known.GoneAt < *Next))
      Next = Known.GoneAt;
  return Next;
}

std::vector<backend_server> server_directory::servers() const {
  std::vector<backend_server> Present;
  for (const auto &[Id, Known] : Servers)
    if (Known.Present)
      Present.push_back(Known.Entry.Server);
  // An address that was given to another server has the later start.
  std::ranges::sort(Present,
                    [](const backend_server &L, const backend_server &R) {
                      return std::tie(L.Pool, L.Address, R.Started) <
                             std::tie(R.Pool, R.Address, L.Started);
                    });
  auto SamePlace = [](const backend_server &L, const backend_server &R) {
    return L.Pool == R.Pool && L.Address == R.Address;
  };
  auto Repeated = std::ranges::unique(Present, SamePlace);
  Present.erase(Repeated.begin(), Repeated.end());
  return Present;
}

} // namespace endiverail
