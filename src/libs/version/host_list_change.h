#pragma once

#include "version/host_list.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// The difference between a host list and a later revision of it.
struct host_list_change {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  /// Added or changed.
  std::vector<entry_host> EntryHosts;
  std::vector<backend_server> Servers;
  /// Ids of removed entry hosts and addresses of removed backend servers.
  std::vector<std::string> RemovedEntryHosts;
  std::vector<endpoint_text> RemovedServers;

  bool operator==(const host_list_change &) const = default;
};

/// Returns \p List with \p Change applied. The change may contain rows that
/// are already in the list.
host_list applyChange(host_list List, const host_list_change &Change);

/// Keeps track of recently changed rows of the host list, so that peers with an
/// older revision can be sent the difference instead of the whole list.
class host_list_history {
public:
  /// Records that \p New has replaced \p Old.
  void record(const host_list &Old, const host_list &New);

  /// Returns the difference between \p Revision and \p Current, or nullopt if
  /// the changes since \p Revision are not completely known.
  std::optional<host_list_change> since(std::uint64_t Revision,
                                        const host_list &Current) const;

private:
  struct changed_row {
    /// Revision of the list in which this process first saw the change.
    std::uint64_t Revision = 0;
    bool IsServer = false;
    std::string Key;
  };

  static constexpr std::size_t MaxRows = 4'096;

  std::deque<changed_row> ChangedRows;
  /// Revisions since which all changes are known, oldest first. A difference
  /// can be computed only from one of these: in a revision that this process
  /// has never seen, a row may have changed and been changed back later.
  std::deque<std::uint64_t> Revisions;
};

} // namespace endiverail
