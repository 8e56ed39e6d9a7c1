#pragma once

#include "version/configuration.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A proxy that owns backend servers of a service.
struct service_owner {
  std::string ProxyId;
  endpoint_text Address;
  std::string DataCentre;
  /// Backend servers whose slots are allocated by this proxy only.
  std::vector<backend_server> Servers;
};

/// The owners of one service, in order of preference.
using service_owners = std::vector<service_owner>;

/// Chooses the owners of services. It precomputes the data that all services
/// share, so that a view with thousands of proxies is processed only once.
class owner_chooser {
public:
  /// \p View must outlive the chooser.
  explicit owner_chooser(const fleet_view &View);

  /// Chooses the owners of \p Service by rendezvous hashing over the offered
  /// proxies, spread over as many data centres as possible, and assigns each
  /// backend server of the pool that is not leaving to exactly one of them.
  /// Proxies with the same view arrive at the same result.
  service_owners choose(const service_definition &Service) const;

private:
  struct candidate {
    std::uint64_t IdHash = 0;
    const proxy_member *Proxy = nullptr;
  };
  using data_centre = std::vector<candidate>;

  service_owner &chooseOwnerFor(const backend_server &Server,
                                service_owners &Owners,
                                std::size_t MaxServers) const;
  std::vector<const proxy_member *> chooseProxies(std::uint64_t ServiceHash,
                                                  std::size_t Wanted) const;

  const fleet_view &View;
  std::vector<data_centre> DataCentres;
};

} // namespace endiverail
