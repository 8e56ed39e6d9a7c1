#include "version/peer_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace endiverail {

const service_owner *chooseOwner(const fleet_version &Version,
                                 std::string_view Service,
                                 std::span<const std::string> Failed,
                                 std::uint64_t Seed) {
  auto Untried =
      Version.ownersOf(Service) |
      std::views::filter([&](const service_owner &Owner) {
        return !Owner.Servers.empty() && Owner.ProxyId != Version.SelfId &&
               std::ranges::find(Failed, Owner.Address) == Failed.end();
      });
  auto Best =
      std::ranges::max_element(Untried, {}, [&](const service_owner &Owner) {
        return stableHash(Owner.ProxyId, std::to_string(Seed));
      });
  return Best == Untried.end() ? nullptr : &*Best;
}

const proxy_member *chooseObserver(const fleet_version &Version,
                                   std::string_view Server,
                                   std::uint64_t Seed) {
  const fleet_view &View = Version.View;
  auto Others =
      View.Proxies | std::views::filter([&](const proxy_member &Proxy) {
        return Proxy.Offered && Proxy.Id != Version.SelfId &&
               !View.hasPathFault(Proxy.Id, Server);
      });
  const proxy_member *Self = View.findProxy(Version.SelfId);
  auto Best =
      std::ranges::max_element(Others, {}, [&](const proxy_member &Proxy) {
        bool Elsewhere = !Self || Proxy.DataCentre != Self->DataCentre;
        return std::pair(Elsewhere, stableHash(Proxy.Id, std::to_string(Seed)));
      });
  return Best == Others.end() ? nullptr : &*Best;
}

} // namespace endiverail
