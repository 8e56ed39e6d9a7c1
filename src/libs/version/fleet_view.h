#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// An IPv4 address and port in the form "a.b.c.d:port".
using endpoint_text = std::string;

/// A proxy of the fleet, according to the membership view of this process.
struct proxy_member {
  /// Host name from the settings; unique within the fleet.
  std::string Id;
  std::string DataCentre;
  /// Address for callers and peers.
  endpoint_text Address;
  /// Increases with each start of the daemon on that host.
  std::uint64_t Incarnation = 0;
  /// False once the proxy is draining or suspects itself to be faulty.
  bool Offered = true;
  /// Separate address for callers; empty if they use Address.
  endpoint_text CallerAddress{};
  /// Capacity of its host in requests per second; 0 if unknown.
  std::uint32_t Capacity = 0;

  const endpoint_text &callerAddress() const {
    return CallerAddress.empty() ? Address : CallerAddress;
  }

  bool operator==(const proxy_member &) const = default;
};

/// States that a proxy cannot reliably reach a backend server that other
/// proxies find healthy.
struct path_fault {
  std::string ProxyId;
  endpoint_text Server;

  auto operator<=>(const path_fault &) const = default;
};

enum class server_state { Live, Leaving };

/// A backend server as described by the host list.
struct backend_server {
  /// Identifies the backend server.
  endpoint_text Address;
  std::string Pool;
  std::string DataCentre;
  server_state State = server_state::Live;
  /// Distinguishes successive instances at the same address; empty if the
  /// source of the list does not provide it.
  std::string Instance{};
  /// Time of the last start in milliseconds since the Unix epoch; 0 if unknown.
  /// An instance may restart under the same name.
  std::int64_t Started = 0;
  /// Number of concurrent requests; 0 to use the value from the service
  /// definition.
  std::size_t Slots = 0;
  /// End of the warm-up period after a start, during which it responds slowly.
  steady_time ColdUntil{};

  bool operator==(const backend_server &) const = default;
};

/// A snapshot of proxies and backend servers; immutable once published.
struct fleet_view {
  /// Sorted by id.
  std::vector<proxy_member> Proxies;
  /// Sorted by pool, then address.
  std::vector<backend_server> Servers;
  /// Sorted.
  std::vector<path_fault> PathFaults;

  /// Returns whether \p ProxyId should not be used to reach \p Server.
  bool hasPathFault(std::string_view ProxyId, std::string_view Server) const {
    return std::ranges::any_of(PathFaults, [&](const path_fault &Fault) {
      return Fault.ProxyId == ProxyId && Fault.Server == Server;
    });
  }

  /// Returns the backend servers of the pool \p Name.
  std::span<const backend_server> pool(std::string_view Name) const {
    auto Range =
        std::ranges::equal_range(Servers, Name, {}, &backend_server::Pool);
    return {Range.begin(), Range.end()};
  }

  /// Returns the proxy with \p Id, or nullptr if there is none.
  const proxy_member *findProxy(std::string_view Id) const {
    auto Found = std::ranges::lower_bound(Proxies, Id, {}, &proxy_member::Id);
    return Found == Proxies.end() || Found->Id != Id ? nullptr : &*Found;
  }
};

} // namespace endiverail
