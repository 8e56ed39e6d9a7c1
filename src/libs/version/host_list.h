#pragma once

#include "version/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endiverail {

/// A host on which a proxy of the fleet may run.
struct entry_host {
  std::string Id;
  std::string DataCentre;
  endpoint_text Address;

  bool operator==(const entry_host &) const = default;
};

/// The platform's list of hosts. It lags behind the actual state, so it serves
/// only as a hint for joining the fleet and for discovering backend servers.
struct host_list {
  /// Increases with each change.
  std::uint64_t Revision = 0;
  std::vector<entry_host> EntryHosts;
  /// Sorted by pool, then address.
  std::vector<backend_server> Servers;
};

} // namespace endiverail
