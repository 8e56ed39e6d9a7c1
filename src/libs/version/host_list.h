#pragma once

#include "version/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endiverail {

/// A host on which the fleet itself may run.
struct entry_host {
  std::string Id;
  std::string DataCentre;
  endpoint_text Address;

  bool operator==(const entry_host &) const = default;
};

/// The platform's list of hosts: it lags, so it is a hint for joining and for
/// which backend servers there are.
struct host_list {
  /// Grows with each change.
  std::uint64_t Revision = 0;
  std::vector<entry_host> EntryHosts;
  /// Sorted by pool, then address.
  std::vector<backend_server> Servers;
};

} // namespace endiverail
