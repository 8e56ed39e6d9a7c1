#include "version/address_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <ranges>

namespace endiverail {
namespace {

constexpr std::size_t MinDataCentres = 2;

std::size_t countDataCentres(std::span<const offered_address> Addresses) {
  std::vector<std::string_view> Names;
  for (const offered_address &Address : Addresses)
    if (std::ranges::find(Names, Address.DataCentre) == Names.end())
      Names.push_back(Address.DataCentre);
  return Names.size();
}

/// Picks a proxy in a data centre that \p Chosen does not cover, by rendezvous
/// hashing with \p Salt.
const proxy_member *chooseStandby(const fleet_version &Version,
                                  std::span<const offered_address> Chosen,
                                  std::uint64_t Salt) {
  auto Elsewhere =
      Version.View.Proxies | std::views::filter([&](const proxy_member &Proxy) {
        return Proxy.Offered &&
               std::ranges::none_of(Chosen, [&](const offered_address &A) {
                 return A.DataCentre == Proxy.DataCentre;
               });
      });
  auto Best =
      std::ranges::max_element(Elsewhere, {}, [&](const proxy_member &Proxy) {
        return mixHashes(Salt, stableHash(Proxy.Id));
      });
  return Best == Elsewhere.end() ? nullptr : &*Best;
}

} // namespace

std::vector<offered_address> chooseAddresses(const fleet_version &Version,
                                             std::string_view Service,
                                             std::uint64_t Salt) {
  std::vector<offered_address> Chosen;
  for (const service_owner &Owner : Version.ownersOf(Service)) {
    const proxy_member *Proxy = Version.View.findProxy(Owner.ProxyId);
    if (Proxy && Proxy->Offered && !Owner.Servers.empty())
      Chosen.push_back({Owner.Address, Owner.DataCentre, Owner.ProxyId,
                        Proxy->Incarnation, Owner.Servers.size()});
  }
  while (countDataCentres(Chosen) < MinDataCentres) {
    const proxy_member *Proxy = chooseStandby(Version, Chosen, Salt);
    if (!Proxy)
      break;
    Chosen.push_back(
        {Proxy->Address, Proxy->DataCentre, Proxy->Id, Proxy->Incarnation, 0});
  }
  return Chosen;
}

} // namespace endiverail
