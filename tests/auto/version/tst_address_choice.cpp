#include "version/address_choice.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endiverail;

namespace {

fleet_version versionOf(std::size_t Owners, std::size_t DataCentres) {
  fleet_version Version;
  for (std::size_t Index = 0; Index < 12; ++Index)
    Version.View.Proxies.push_back({"p" + std::to_string(10 + Index),
                                    "dc" + std::to_string(Index % DataCentres),
                                    "127.0.0.1:" + std::to_string(2000 + Index),
                                    7, true});
  Version.View.Servers.push_back(
      {"127.0.0.2:1", "s", "dc0", server_state::Live});
  service_definition Service;
  Service.Name = Service.Pool = "s";
  Service.Owners = Owners;
  Version.Owners["s"] = owner_chooser(Version.View).choose(Service);
  return Version;
}

std::set<std::string> dataCentresOf(const std::vector<offered_address> &Of) {
  std::set<std::string> Names;
  for (const offered_address &Address : Of)
    Names.insert(Address.DataCentre);
  return Names;
}

} // namespace

TEST_CASE("callers get owners and proxies from at least two data centres") {
  auto Chosen = chooseAddresses(versionOf(1, 3), "s", 1);
  REQUIRE_FALSE(Chosen.empty());
  CHECK(Chosen.front().Servers == 1);
  CHECK(dataCentresOf(Chosen).size() >= 2);
}

TEST_CASE("in a single data centre, callers get only the owners") {
  auto Chosen = chooseAddresses(versionOf(1, 1), "s", 1);
  CHECK(Chosen.size() == 1);
}

TEST_CASE(
    "proxies that drain or suspect themselves are not offered to callers") {
  fleet_version Version = versionOf(2, 3);
  std::string Excluded = Version.ownersOf("s").front().ProxyId;
  for (proxy_member &Proxy : Version.View.Proxies)
    if (Proxy.Id == Excluded)
      Proxy.Offered = false;
  for (std::uint64_t Salt = 0; Salt < 50; ++Salt)
    for (const offered_address &Address : chooseAddresses(Version, "s", Salt))
      CHECK(Address.ProxyId != Excluded);
}

TEST_CASE("callers are spread over different standbys") {
  std::set<std::string> StandBys;
  for (std::uint64_t Salt = 0; Salt < 100; ++Salt)
    for (const offered_address &Address :
         chooseAddresses(versionOf(1, 3), "s", Salt))
      if (Address.Servers == 0)
        StandBys.insert(Address.ProxyId);
  CHECK(StandBys.size() > 4);
}
