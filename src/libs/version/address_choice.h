#pragma once

#include "version/fleet_version.h"

#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// The address of a proxy that a caller may use for a service.
struct offered_address {
  endpoint_text Address;
  std::string DataCentre;
  std::string ProxyId;
  std::uint64_t Incarnation = 0;
  /// Number of the service's backend servers that the proxy owns; 0 for a
  /// standby, which forwards requests to an owner.
  std::size_t Servers = 0;
};

/// Returns the proxies that callers of a service should use: its owners, plus
/// standbys as long as the result covers fewer than two data centres. \p Salt
/// spreads callers over the possible standbys.
std::vector<offered_address> chooseAddresses(const fleet_version &Version,
                                             std::string_view Service,
                                             std::uint64_t Salt);

} // namespace endiverail
