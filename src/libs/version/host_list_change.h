#pragma once

#include "version/host_list.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// What turns one host list into a later one.
struct host_list_change {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  /// Added or changed.
  std::vector<entry_host> EntryHosts;
  std::vector<backend_server> Servers;
  /// Ids and addresses of those that are gone.
  std::vector<std::string> RemovedEntryHosts;
  std::vector<endpoint_text> RemovedServers;

  bool operator==(const host_list_change &) const = default;
};

/// The list after \p Change, which may name rows that the list has already.
host_list applyChange(host_list List, const host_list_change &Change);

/// Remembers which rows of the host list have changed lately, so that a peer
/// with an older list need not get the whole one.
class host_list_history {
public:
  /// Takes note of a newer list in place of an older one.
  void record(const host_list &Old, const host_list &New);

  /// What a peer with the list of \p Revision lacks of \p Current; nothing
  /// when that is not known any more.
  std::optional<host_list_change> since(std::uint64_t Revision,
                                        const host_list &Current) const;

private:
  struct changed_row {
    /// Of the list in which the change was first seen here.
    std::uint64_t Revision = 0;
    bool IsServer = false;
    std::string Key;
  };

  static constexpr std::size_t MaxRows = 4'096;

  std::deque<changed_row> ChangedRows;
  /// Lists after which all changes are remembered, oldest first. Only a peer
  /// with one of these can be told the difference: in a list that was never
  /// seen here, a row may have changed and changed back.
  std::deque<std::uint64_t> Revisions;
};

} // namespace endiverail
