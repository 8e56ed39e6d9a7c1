#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// An IP address and port as "a.b.c.d:port".
using endpoint_text = std::string;

/// A proxy of the fleet as this process believes it to be.
struct proxy_member {
  /// The host's name from its settings; unique in the fleet.
  std::string Id;
  std::string DataCentre;
  /// Where callers and peers connect.
  endpoint_text Address;
  /// Grows with each start of the daemon on that host.
  std::uint64_t Incarnation = 0;
  /// False once it drains or suspects itself.
  bool Offered = true;
  /// Where callers connect; empty when that is Address.
  endpoint_text CallerAddress{};
  /// Requests a second that its host can carry; 0 where that is not known.
  std::uint32_t Capacity = 0;

  const endpoint_text &callerAddress() const {
    return CallerAddress.empty() ? Address : CallerAddress;
  }

  bool operator==(const proxy_member &) const = default;
};

/// A proxy does not reach a backend server well that others find healthy.
struct path_fault {
  std::string ProxyId;
  endpoint_text Server;

  auto operator<=>(const path_fault &) const = default;
};

enum class server_state { Live, Leaving };

/// A backend server as the host list tells of it.
struct backend_server {
  /// Also its identity.
  endpoint_text Address;
  std::string Pool;
  std::string DataCentre;
  server_state State = server_state::Live;
  /// Tells apart what runs at an address one after the other; empty where the
  /// source of the list does not know.
  std::string Instance{};
  /// When its present life began, in milliseconds since the Unix epoch; 0 where
  /// that is not known. An instance may start again under its name.
  std::int64_t Started = 0;
  /// Requests that it runs at once; 0 for what the service's definition says.
  std::size_t Slots = 0;
  /// Until when it is slow after its start.
  steady_time ColdUntil{};

  bool operator==(const backend_server &) const = default;
};

/// Proxies and backend servers at one time; immutable once published.
struct fleet_view {
  /// Sorted by id.
  std::vector<proxy_member> Proxies;
  /// Sorted by pool, then address.
  std::vector<backend_server> Servers;
  /// Sorted.
  std::vector<path_fault> PathFaults;

  /// Whether a proxy is to be kept away from a backend server.
  bool hasPathFault(std::string_view ProxyId, std::string_view Server) const {
    return std::ranges::any_of(PathFaults, [&](const path_fault &Fault) {
      return Fault.ProxyId == ProxyId && Fault.Server == Server;
    });
  }

  /// The backend servers of one pool.
  std::span<const backend_server> pool(std::string_view Name) const {
    auto Range =
        std::ranges::equal_range(Servers, Name, {}, &backend_server::Pool);
    return {Range.begin(), Range.end()};
  }

  /// The proxy of that id, or nullptr.
  const proxy_member *findProxy(std::string_view Id) const {
    auto Found = std::ranges::lower_bound(Proxies, Id, {}, &proxy_member::Id);
    return Found == Proxies.end() || Found->Id != Id ? nullptr : &*Found;
  }
};

} // namespace endiverail
