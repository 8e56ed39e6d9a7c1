#include "version/host_list_change.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <string_view>
#include <utility>

namespace endiverail {
namespace {

template <typename Row>
using row_index = std::map<std::string_view, const Row *>;

template <typename Row, typename Key>
row_index<Row> indexRows(const std::vector<Row> &Rows, Key KeyOf) {
  row_index<Row> Index;
  for (const Row &Each : Rows)
    Index.emplace(std::invoke(KeyOf, Each), &Each);
  return Index;
}

/// Returns the keys of rows that differ or are present in only one of the
/// lists.
template <typename Row, typename Key>
std::vector<std::string> changedKeys(const std::vector<Row> &Old,
                                     const std::vector<Row> &New, Key KeyOf) {
  std::vector<std::string> Keys;
  row_index<Row> Before = indexRows(Old, KeyOf);
  row_index<Row> After = indexRows(New, KeyOf);
  for (const auto &[Name, Present] : After)
    if (auto Known = Before.find(Name);
        Known == Before.end() || *Known->second != *Present)
      Keys.emplace_back(Name);
  for (const auto &[Name, Earlier] : Before)
    if (!After.contains(Name))
      Keys.emplace_back(Name);
  return Keys;
}

/// Erases removed and updated rows, then appends the updated ones.
template <typename Row, typename Key>
void replaceRows(std::vector<Row> &Rows, const std::vector<Row> &Updated,
                 const std::vector<std::string> &Removed, Key KeyOf) {
  std::set<std::string_view> Replaced(Removed.begin(), Removed.end());
  for (const Row &Each : Updated)
    Replaced.insert(std::invoke(KeyOf, Each));
  std::erase_if(Rows, [&](const Row &Each) {
    return Replaced.contains(std::invoke(KeyOf, Each));
  });
  std::ranges::copy(Updated, std::back_inserter(Rows));
}

/// Adds the row of \p Key to \p Present, or the key to \p Removed if \p Index
/// has no such row.
template <typename Row>
void collectRow(const row_index<Row> &Index, const std::string &Key,
                std::vector<Row> &Present, std::vector<std::string> &Removed) {
  auto Found = Index.find(Key);
  if (Found == Index.end())
    Removed.push_back(Key);
  else
    Present.push_back(*Found->second);
}

} // namespace

host_list applyChange(host_list List, const host_list_change &Change) {
  List.Revision = Change.To;
  replaceRows(List.EntryHosts, Change.EntryHosts, Change.RemovedEntryHosts,
              &entry_host::Id);
  replaceRows(List.Servers, Change.Servers, Change.RemovedServers,
              &backend_server::Address);
  std::ranges::sort(List.EntryHosts, {}, &entry_host::Id);
  std::ranges::sort(List.Servers, {}, [](const backend_server &Server) {
    return std::pair<std::string_view, std::string_view>(Server.Pool,
                                                         Server.Address);
  });
  return List;
}

void host_list_history::record(const host_list &Old, const host_list &New) {
  Revisions.push_back(New.Revision);
  if (Revisions.size() > MaxRows)
    Revisions.pop_front();
  if (Old.Revision == 0)
    return;
  for (std::string &Key :
       changedKeys(Old.EntryHosts, New.EntryHosts, &entry_host::Id))
    ChangedRows.push_back({New.Revision, false, std::move(Key)});
  for (std::string &Key :
       changedKeys(Old.Servers, New.Servers, &backend_server::Address))
    ChangedRows.push_back({New.Revision, true, std::move(Key)});
  while (ChangedRows.size() > MaxRows) {
    // Differences from revisions before this change can no longer be computed.
    while (Revisions.front() < ChangedRows.front().Revision)
      Revisions.pop_front();
    ChangedRows.pop_front();
  }
}

std::optional<host_list_change>
host_list_history::since(std::uint64_t Revision,
                         const host_list &Current) const {
  if (!std::ranges::binary_search(Revisions, Revision))
    return std::nullopt;
  std::set<std::string_view> EntryKeys;
  std::set<std::string_view> ServerKeys;
  for (const changed_row &Row : ChangedRows)
    if (Row.Revision > Revision)
      (Row.IsServer ? ServerKeys : EntryKeys).insert(Row.Key);
  host_list_change Change;
  Change.From = Revision;
  Change.To = Current.Revision;
  auto Entries = indexRows(Current.EntryHosts, &entry_host::Id);
  for (std::string_view Key : EntryKeys)
    collectRow(Entries, std::string(Key), Change.EntryHosts,
               Change.RemovedEntryHosts);
  auto Servers = indexRows(Current.Servers, &backend_server::Address);
  for (std::string_view Key : ServerKeys)
    collectRow(Servers, std::string(Key), Change.Servers,
               Change.RemovedServers);
  return Change;
}

} // namespace endiverail
