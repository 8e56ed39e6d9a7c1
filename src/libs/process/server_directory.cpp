#include "process/server_directory.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <tuple>

namespace endiverail {
namespace {

auto recordOrder(const server_entry &Entry) {
  return std::tuple(Entry.Server.Started, Entry.Sequence);
}

/// Ignores the end of the cold time, which elapses without a change of the
/// server.
bool equalIgnoringColdTime(backend_server Left, const backend_server &Right) {
  Left.ColdUntil = Right.ColdUntil;
  return Left == Right;
}

milliseconds remainingColdTime(const server_entry &Entry, steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(
      std::max(Entry.Server.ColdUntil - Now, steady_time::duration(0)));
}

} // namespace

bool server_directory::inGracePeriod(steady_time Now) const {
  return StoreUnavailable || Now < GracePeriodEnd;
}

void server_directory::recordChange(std::string_view Id,
                                    server_change_kind Kind) {
  Changed = true;
  Changes.push_back({std::string(Id), Kind});
}

bool server_directory::accept(std::string_view Id, const server_entry &Entry,
                              bool InGracePeriod) {
  auto Kind = Entry.Server.State == server_state::Live
                  ? server_change_kind::Ready
                  : server_change_kind::Leaving;
  auto [Found, Added] = Servers.try_emplace(std::string(Id));
  known_server &Known = Found->second;
  if (!Added) {
    if (recordOrder(Entry) < recordOrder(Known.Entry))
      return false;
    // A repeated registration doesn't restore a removed server.
    if (!Known.Present && recordOrder(Entry) == recordOrder(Known.Entry) &&
        (!InGracePeriod || Known.RemovedBeforeReturn))
      return false;
  }
  bool New = !Known.Present ||
             !equalIgnoringColdTime(Entry.Server, Known.Entry.Server);
  set(Id, Known, Entry, true);
  if (New)
    recordChange(Id, Kind);
  return New;
}

void server_directory::set(std::string_view Id, known_server &Known,
                           server_entry Entry, bool Present) {
  ExpiredCount -= Known.Expired ? 1 : 0;
  std::uint64_t &Bucket = Buckets[bucketOf(Id)];
  Bucket ^= digestOf(Id, Known);
  Known = {std::move(Entry), Present};
  Bucket ^= digestOf(Id, Known);
}

std::size_t server_directory::bucketOf(std::string_view Id) {
  return stableHash(Id) % DigestBucketCount;
}

std::uint64_t server_directory::digestOf(std::string_view Id,
                                         const known_server &Known) {
  if (!Known.Present)
    return 0;
  const backend_server &Server = Known.Entry.Server;
  return mixHashes(stableHash(Id, Server.Address),
                   static_cast<std::uint64_t>(Server.Started) * 2 +
                       (Server.State == server_state::Live ? 1 : 0));
}

void server_directory::apply(std::string_view Id, const server_entry &Entry,
                             steady_time Now) {
  if (ListedIds)
    ListedIds->emplace(Id);
  if (!accept(Id, Entry, inGracePeriod(Now)))
    return;
  Statements.push_back(
      {std::string(Id), Entry, remainingColdTime(Entry, Now), false});
}

void server_directory::mergeStatement(const server_statement &Statement,
                                      steady_time Now) {
  if (Statement.Removed) {
    auto Found = Servers.find(Statement.Id);
    if (Found == Servers.end() || !Found->second.Present ||
        recordOrder(Statement.Entry) < recordOrder(Found->second.Entry))
      return;
    markRemoved(Statement.Id, Found->second, Statement.Entry);
    return;
  }
  server_entry Entry = Statement.Entry;
  if (Statement.RemainingColdTime.count() > 0)
    Entry.Server.ColdUntil = Now + Statement.RemainingColdTime;
  if (accept(Statement.Id, Entry, false))
    Statements.push_back(Statement);
}

server_statement server_directory::statementOf(std::string_view Id,
                                               const known_server &Known,
                                               steady_time Now) {
  return {std::string(Id), Known.Entry, remainingColdTime(Known.Entry, Now),
          !Known.Present};
}

std::vector<server_statement>
server_directory::allStatements(steady_time Now) const {
  std::vector<server_statement> All;
  for (const auto &[Id, Known] : Servers)
    if (Known.Present)
      All.push_back(statementOf(Id, Known, Now));
  return All;
}

std::vector<server_statement>
server_directory::differingStatements(std::span<const std::uint64_t> Other,
                                      steady_time Now) const {
  std::vector<server_statement> Differing;
  if (Other.size() != DigestBucketCount)
    return Differing;
  for (const auto &[Id, Known] : Servers)
    if (std::size_t Bucket = bucketOf(Id); Buckets[Bucket] != Other[Bucket])
      Differing.push_back(statementOf(Id, Known, Now));
  return Differing;
}

std::uint64_t server_directory::digest() const {
  return std::reduce(Buckets.begin(), Buckets.end(), std::uint64_t{0},
                     std::bit_xor{});
}

void server_directory::markRemoved(std::string_view Id, known_server &Known,
                                   const server_entry &Last) {
  set(Id, Known, server_entry(Last), false);
  recordChange(Id, server_change_kind::Removed);
  Statements.push_back({std::string(Id), Known.Entry, milliseconds(0), true});
}

void server_directory::removeServer(std::string_view Id, known_server &Known,
                                    steady_time Now) {
  if (!Known.Present)
    return;
  // A leaving server was removed on purpose; the grace period is for expired
  // registrations.
  if (!inGracePeriod(Now) || Known.Entry.Server.State != server_state::Live)
    markRemoved(Id, Known, Known.Entry);
  else if (!std::exchange(Known.Expired, true))
    ++ExpiredCount;
}

void server_directory::remove(std::string_view Id, steady_time Now) {
  auto Found = Servers.find(Id);
  if (Found != Servers.end())
    removeServer(Id, Found->second, Now);
}

void server_directory::onUnreadableRecord(std::string_view Id) {
  if (ListedIds)
    ListedIds->emplace(Id);
}

void server_directory::beginListing() { ListedIds.emplace(); }

void server_directory::endListing(steady_time Now) {
  if (!ListedIds)
    return;
  for (auto &[Id, Known] : Servers)
    if (!ListedIds->contains(Id))
      removeServer(Id, Known, Now);
  ListedIds.reset();
}

void server_directory::onStoreReturned(steady_time Now) {
  beginGracePeriod(std::max(Now, GracePeriodEnd - GracePeriod));
  for (known_server &Known : Servers | std::views::values)
    Known.RemovedBeforeReturn = !Known.Present;
}

bool server_directory::removeExpired(steady_time Now) {
  if (inGracePeriod(Now) || ExpiredCount == 0)
    return false;
  for (auto &[Id, Known] : Servers)
    if (Known.Expired)
      markRemoved(Id, Known, Known.Entry);
  return true;
}

std::optional<steady_time> server_directory::nextWake() const {
  return ExpiredCount > 0 && !StoreUnavailable ? std::optional(GracePeriodEnd)
                                               : std::nullopt;
}

std::vector<backend_server> server_directory::servers() const {
  std::vector<backend_server> Present;
  for (const auto &[Id, Known] : Servers)
    if (Known.Present)
      Present.push_back(Known.Entry.Server);
  // If an address was reassigned, the server that started later comes first.
  std::ranges::sort(Present,
                    [](const backend_server &L, const backend_server &R) {
                      return std::tie(L.Pool, L.Address, R.Started) <
                             std::tie(R.Pool, R.Address, L.Started);
                    });
  auto SameAddress = [](const backend_server &L, const backend_server &R) {
    return L.Pool == R.Pool && L.Address == R.Address;
  };
  auto Repeated = std::ranges::unique(Present, SameAddress);
  Present.erase(Repeated.begin(), Repeated.end());
  return Present;
}

} // namespace endiverail
