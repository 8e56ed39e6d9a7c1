#pragma once

#include "version/fleet_version.h"

#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// A proxy that a caller may use for a service.
struct offered_address {
  endpoint_text Address;
  std::string DataCentre;
  std::string ProxyId;
  std::uint64_t Incarnation = 0;
  /// Share of the service's backend servers behind it; 0 for a stand-by that
  /// would forward.
  std::size_t Servers = 0;
};

/// The proxies that callers of a service should use: its owners, and others
/// of the fleet while the owners lie in fewer than two data centres. \p Salt
/// varies the stand-bys between callers.
std::vector<offered_address> chooseAddresses(const fleet_version &Version,
                                             std::string_view Service,
                                             std::uint64_t Salt);

} // namespace endiverail
