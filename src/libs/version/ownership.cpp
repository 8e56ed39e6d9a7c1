#include "version/ownership.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <tuple>

namespace endiverail {
namespace {

struct weighted_proxy {
  std::uint64_t Weight = 0;
  /// Number of proxies in the same data centre with a greater weight.
  std::size_t DataCentrePosition = 0;
  const proxy_member *Proxy = nullptr;
};

} // namespace

owner_chooser::owner_chooser(const fleet_view &View) : View(View) {
  std::map<std::string_view, data_centre> Groups;
  for (const proxy_member &Proxy : View.Proxies)
    if (Proxy.Offered)
      Groups[Proxy.DataCentre].push_back({stableHash(Proxy.Id), &Proxy});
  std::ranges::move(Groups | std::views::values,
                    std::back_inserter(DataCentres));
}

/// Returns the proxy with the greatest weight of each data centre, followed by
/// those with the second greatest weight, and so on.
std::vector<const proxy_member *>
owner_chooser::chooseProxies(std::uint64_t ServiceHash,
                             std::size_t Wanted) const {
  if (DataCentres.empty())
    return {};
  const std::size_t PerDataCentre =
      (Wanted + DataCentres.size() - 1) / DataCentres.size();
  std::vector<weighted_proxy> Best;
  for (const data_centre &Candidates : DataCentres) {
    std::vector<weighted_proxy> Weighted;
    Weighted.reserve(Candidates.size());
    for (const candidate &Candidate : Candidates)
      Weighted.push_back(
          {mixHashes(ServiceHash, Candidate.IdHash), 0, Candidate.Proxy});
    auto Heaviest =
        Weighted.begin() +
        static_cast<std::ptrdiff_t>(std::min(PerDataCentre, Weighted.size()));
    std::ranges::partial_sort(Weighted, Heaviest, std::ranges::greater{},
                              &weighted_proxy::Weight);
    for (auto At = Weighted.begin(); At != Heaviest; ++At) {
      At->DataCentrePosition = static_cast<std::size_t>(At - Weighted.begin());
      Best.push_back(*At);
    }
  }
  std::ranges::sort(Best, [](const weighted_proxy &L, const weighted_proxy &R) {
    return L.DataCentrePosition != R.DataCentrePosition
               ? L.DataCentrePosition < R.DataCentrePosition
               : L.Weight > R.Weight;
  });
  std::vector<const proxy_member *> Chosen;
  std::ranges::copy(Best | std::views::take(Wanted) |
                        std::views::transform(&weighted_proxy::Proxy),
                    std::back_inserter(Chosen));
  return Chosen;
}

service_owners owner_chooser::choose(const service_definition &Service) const {
  service_owners Owners;
  for (const proxy_member *Proxy :
       chooseProxies(stableHash(Service.Name), Service.Owners))
    Owners.push_back({Proxy->Id, Proxy->Address, Proxy->DataCentre, {}});
  if (Owners.empty())
    return Owners;

  std::vector<const backend_server *> Servers;
  for (const backend_server &Server : View.pool(Service.Pool))
    if (Server.State != server_state::Leaving)
      Servers.push_back(&Server);

  // Bounded loads: no owner gets more than an equal share, rounded up.
  const std::size_t MaxServers =
      (Servers.size() + Owners.size() - 1) / Owners.size();
  for (const backend_server *Server : Servers)
    chooseOwnerFor(*Server, Owners, MaxServers).Servers.push_back(*Server);
  return Owners;
}

/// Returns the owner below \p MaxServers with the highest rendezvous hash. An
/// owner with a path fault to the backend server is chosen only if there is no
/// other, even if the others are full.
service_owner &owner_chooser::chooseOwnerFor(const backend_server &Server,
                                             service_owners &Owners,
                                             std::size_t MaxServers) const {
  auto Preference = [&](const service_owner &Owner) {
    return std::tuple(!View.hasPathFault(Owner.ProxyId, Server.Address),
                      Owner.Servers.size() < MaxServers,
                      stableHash(Server.Address, Owner.ProxyId));
  };
  return *std::ranges::max_element(Owners, {}, Preference);
}

} // namespace endiverail
