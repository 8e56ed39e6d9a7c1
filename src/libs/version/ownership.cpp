#include "version/ownership.h"

#include "base/hash.h"

#include <algorithm>
#include <ranges>

namespace endiverail {
namespace {

struct candidate {
  const proxy_member *Proxy = nullptr;
  std::uint64_t Weight = 0;
};

std::vector<candidate> byWeight(const service_definition &Service,
                                const fleet_view &View) {
  std::vector<candidate> Candidates;
  Candidates.reserve(View.Proxies.size());
  for (const proxy_member &Proxy : View.Proxies)
    if (Proxy.Offered)
      Candidates.push_back({&Proxy, stableHash(Service.Name, Proxy.Id)});
  // Only the first choices are needed; a few per data centre are enough.
  std::ranges::sort(Candidates, std::ranges::greater{}, &candidate::Weight);
  return Candidates;
}

/// Takes the heaviest candidate of each data centre in turn.
std::vector<const proxy_member *>
spreadOverDataCentres(std::vector<candidate> Candidates, std::size_t Wanted) {
  std::vector<const proxy_member *> Chosen;
  while (Chosen.size() < Wanted && !Candidates.empty()) {
    std::vector<std::string_view> Visited;
    std::vector<candidate> Left;
    for (const candidate &Candidate : Candidates) {
      bool Fresh = std::ranges::find(Visited, Candidate.Proxy->DataCentre) ==
                   Visited.end();
      if (!Fresh || Chosen.size() == Wanted) {
        Left.push_back(Candidate);
        continue;
      }
      Visited.push_back(Candidate.Proxy->DataCentre);
      Chosen.push_back(Candidate.Proxy);
    }
    Candidates = std::move(Left);
  }
  return Chosen;
}

} // namespace

service_owners chooseOwners(const service_definition &Service,
                            const fleet_view &View) {
  service_owners Owners;
  for (const proxy_member *Proxy :
       spreadOverDataCentres(byWeight(Service, View), Service.Owners))
    Owners.push_back({Proxy->Id, Proxy->Address, Proxy->DataCentre, {}});
  if (Owners.empty())
    return Owners;

  std::vector<const backend_server *> Servers;
  for (const backend_server &Server : View.pool(Service.Pool))
    if (Server.State != server_state::Leaving)
      Servers.push_back(&Server);

  // Bounded loads: no owner gets more than its even part, rounded up.
  const std::size_t Most = (Servers.size() + Owners.size() - 1) / Owners.size();
  for (const backend_server *Server : Servers) {
    auto Open = Owners | std::views::filter([&](const service_owner &Owner) {
                  return Owner.Servers.size() < Most;
                });
    auto Best = std::ranges::max_element(
        Open, {}, [&](const service_owner &Owner) {
          return stableHash(Server->Address, Owner.ProxyId);
        });
    Best->Servers.push_back(*Server);
  }
  return Owners;
}

} // namespace endiverail
