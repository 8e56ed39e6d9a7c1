#pragma once

#include "version/configuration.h"
#include "version/fleet_view.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A proxy that owns backend servers of a service.
struct service_owner {
  std::string ProxyId;
  endpoint_text Address;
  std::string DataCentre;
  /// Backend servers whose slots this proxy alone hands out.
  std::vector<backend_server> Servers;
};

/// The owners of one service, the first choice first.
using service_owners = std::vector<service_owner>;

/// Chooses the owners of \p Service by rendezvous hashing over the offered
/// proxies, in as many data centres as there are, and gives each backend
/// server of the pool that is not leaving to exactly one of them. Two proxies
/// with the same view choose alike.
service_owners chooseOwners(const service_definition &Service,
                            const fleet_view &View);

} // namespace endiverail
