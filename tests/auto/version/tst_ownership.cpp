#include "version/ownership.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace endiverail;

namespace {

fleet_view fleetOf(std::size_t Proxies, std::size_t DataCentres,
                   std::size_t Servers) {
  fleet_view View;
  for (std::size_t Index = 0; Index < Proxies; ++Index)
    View.Proxies.push_back({"p" + std::to_string(1000 + Index),
                            "dc" + std::to_string(Index % DataCentres),
                            "127.0.0.1:" + std::to_string(2000 + Index), 1,
                            true});
  for (std::size_t Index = 0; Index < Servers; ++Index)
    View.Servers.push_back({"127.0.0.2:" + std::to_string(3000 + Index), "pool",
                            "dc0", server_state::Live});
  return View;
}

service_definition serviceOf(std::size_t Owners) {
  service_definition Service;
  Service.Name = "s";
  Service.Pool = "pool";
  Service.Owners = Owners;
  return Service;
}

std::map<std::string, std::string> ownerByServer(const service_owners &Owners) {
  std::map<std::string, std::string> Result;
  for (const service_owner &Owner : Owners)
    for (const backend_server &Server : Owner.Servers)
      Result[Server.Address] = Owner.ProxyId;
  return Result;
}

} // namespace

TEST_CASE("each backend server has exactly one owner, with balanced loads") {
  for (std::size_t Owners : {1, 2, 3, 7}) {
    fleet_view View = fleetOf(44, 3, 20);
    auto Chosen = owner_chooser(View).choose(serviceOf(Owners));
    REQUIRE(Chosen.size() == Owners);
    CHECK(ownerByServer(Chosen).size() == 20);
    std::size_t MaxServers = (20 + Owners - 1) / Owners;
    for (const service_owner &Owner : Chosen)
      CHECK(Owner.Servers.size() <= MaxServers);
  }
}

TEST_CASE("owners are spread over all data centres") {
  fleet_view View = fleetOf(44, 4, 20);
  std::set<std::string> DataCentres;
  for (const service_owner &Owner : owner_chooser(View).choose(serviceOf(4)))
    DataCentres.insert(Owner.DataCentre);
  CHECK(DataCentres.size() == 4);
}

TEST_CASE("proxies that are not offered and leaving servers are excluded") {
  fleet_view View = fleetOf(6, 2, 6);
  auto Before = owner_chooser(View).choose(serviceOf(2));
  for (proxy_member &Proxy : View.Proxies)
    if (Proxy.Id == Before.front().ProxyId)
      Proxy.Offered = false;
  View.Servers[0].State = server_state::Leaving;
  auto After = owner_chooser(View).choose(serviceOf(2));
  for (const service_owner &Owner : After)
    CHECK(Owner.ProxyId != Before.front().ProxyId);
  CHECK_FALSE(ownerByServer(After).contains(View.Servers[0].Address));
}

TEST_CASE("losing a proxy that owns no servers does not change ownership") {
  fleet_view View = fleetOf(44, 3, 20);
  auto Before = owner_chooser(View).choose(serviceOf(2));
  std::erase_if(View.Proxies, [&](const proxy_member &Proxy) {
    return std::ranges::none_of(Before, [&](const service_owner &Owner) {
      return Owner.ProxyId == Proxy.Id;
    });
  });
  CHECK(ownerByServer(owner_chooser(View).choose(serviceOf(2))) ==
        ownerByServer(Before));
}

TEST_CASE("a fleet without proxies has no owners") {
  fleet_view View = fleetOf(0, 1, 3);
  CHECK(owner_chooser(View).choose(serviceOf(2)).empty());
}
