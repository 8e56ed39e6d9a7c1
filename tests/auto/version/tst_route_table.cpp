#include "failure_check.h"
#include "version/caller_addresses.h"
#include "version/fleet_roles.h"
#include "version/route_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace endiverail;
using namespace endiverail::test;

namespace {

route makeRoute(std::string Host, std::string Prefix, std::string Service) {
  route Route;
  Route.Host = std::move(Host);
  Route.PathPrefix = std::move(Prefix);
  Route.Services = {{std::move(Service), 1}};
  return Route;
}

std::vector<proxy_member> fleet(std::size_t PerDataCentre) {
  std::vector<proxy_member> Members;
  for (std::string DataCentre : {"a", "b", "c"})
    for (std::size_t Index = 0; Index < PerDataCentre; ++Index) {
      std::string Id = DataCentre + std::to_string(Index);
      Members.push_back({Id, DataCentre, Id + ":1", 1, true, Id + ":2"});
    }
  return Members;
}

} // namespace

TEST_CASE("requests are routed by the longest matching prefix of their host") {
  auto Table = valueOf(route_table::build(
      {makeRoute("h", "/a/", "a"), makeRoute("h", "/a/b/", "ab"),
       makeRoute("h", "/x/y/", "xy"), makeRoute("other", "/", "root")}));
  struct row {
    const char *Host;
    const char *Path;
    const char *Service;
  };
  const row Rows[]{
      {"h", "/a/1", "a"},          {"h", "/a/", "a"},
      {"h", "/a/b/c", "ab"},       {"h", "/a/b", "a"},
      {"h", "/a/bb/c", "a"},       {"h", "/x/y/z/w", "xy"},
      {"h", "/x/1", nullptr},      {"h", "/", nullptr},
      {"h", "/aa/1", nullptr},     {"h", "/a", nullptr},
      {"other", "/any/1", "root"}, {"unknown", "/a/1", nullptr},
      {"h", "", nullptr},
  };
  for (const row &Row : Rows) {
    INFO(Row.Host << " " << Row.Path);
    const route *Found = Table->find(Row.Host, Row.Path);
    REQUIRE((Found != nullptr) == (Row.Service != nullptr));
    if (Found)
      CHECK(Found->Services.front().Service == Row.Service);
  }
}

TEST_CASE("invalid routes are rejected") {
  route NoWeight = makeRoute("h", "/a/", "a");
  NoWeight.Services = {{"a", 0}, {"b", 0}};
  route NoService = makeRoute("h", "/a/", "a");
  NoService.Services.clear();
  struct row {
    const char *What;
    std::vector<route> Routes;
  };
  const row Rows[]{
      {"missing leading slash", {makeRoute("h", "a/", "a")}},
      {"missing trailing slash", {makeRoute("h", "/a", "a")}},
      {"empty prefix", {makeRoute("h", "", "a")}},
      {"total weight of zero", {NoWeight}},
      {"no service", {NoService}},
      {"duplicate route",
       {makeRoute("h", "/a/", "a"), makeRoute("h", "/a/", "b")}},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return route_table::build(Row.Routes); }) ==
          error_kind::BadRecord);
  }
}

TEST_CASE("a split route distributes any run of requests by weight") {
  route Route = makeRoute("h", "/", "a");
  Route.Services = {{"a", 90}, {"none", 0}, {"b", 10}};
  for (std::uint64_t Start :
       {std::uint64_t{0}, std::uint64_t{777}, std::uint64_t{0xffffffffff}}) {
    std::map<std::string, int> Counts;
    for (std::uint64_t Position = 0; Position < 300; ++Position)
      ++Counts[chooseService(Route, Start + Position).Service];
    CHECK(Counts["none"] == 0);
    CHECK(Counts["a"] > 260);
    CHECK(Counts["b"] > 20);
  }
}

TEST_CASE("a route is found among 6,600 routes") {
  std::vector<route> Routes;
  for (int Index = 0; Index < 6'600; ++Index)
    Routes.push_back(makeRoute("h" + std::to_string(Index % 60),
                               "/r" + std::to_string(Index) + "/x/", "s"));
  auto Table = valueOf(route_table::build(std::move(Routes)));
  const route *Found = Table->find("h59", "/r59/x/deep/path/1");
  REQUIRE(Found);
  CHECK(Found->PathPrefix == "/r59/x/");
}

TEST_CASE("callers are directed to a few daemons of their data centre") {
  fleet_version Version;
  Version.Ready = true;
  Version.SelfId = "a0";
  Version.View.Proxies = fleet(16);
  auto Addresses = callerAddresses(Version, "b", 1);
  CHECK(Addresses.size() == MinEntriesPerDataCentre);
  for (const std::string &Address : Addresses)
    CHECK(Address.starts_with("b"));
  CHECK(callerAddresses(Version, "b", 2) == Addresses);

  SECTION("hosts of unknown capacity") {
    Version.View.Servers.resize(500);
    CHECK(callerAddresses(Version, "b", 1) == Addresses);
  }
  SECTION("a lost daemon is replaced") {
    std::erase_if(Version.View.Proxies, [&](const proxy_member &Member) {
      return Member.CallerAddress == Addresses.front();
    });
    auto Others = callerAddresses(Version, "b", 1);
    CHECK(Others.size() == MinEntriesPerDataCentre);
    CHECK(std::ranges::find(Others, Addresses.front()) == Others.end());
    CHECK(std::ranges::includes(
        std::set<std::string>(Others.begin(), Others.end()),
        std::set<std::string>(Addresses.begin() + 1, Addresses.end())));
  }
  SECTION("a draining daemon is excluded") {
    for (proxy_member &Member : Version.View.Proxies)
      if (Member.CallerAddress == Addresses.front())
        Member.Offered = false;
    auto Others = callerAddresses(Version, "b", 1);
    CHECK(std::ranges::find(Others, Addresses.front()) == Others.end());
  }
  SECTION("a data centre without daemons uses those of all others") {
    CHECK(callerAddresses(Version, "z", 1).size() ==
          3 * MinEntriesPerDataCentre);
  }
}

TEST_CASE("callers are distributed by host capacity") {
  // Pools with a total capacity of 2,400 requests per second. In each of the
  // three data centres, two hosts handle 250 requests per second and all others
  // 50.
  fleet_version Version;
  Version.Ready = true;
  Version.SelfId = "a0";
  Version.View.Proxies = fleet(16);
  auto IsLargeHost = [](const proxy_member &Member) {
    return Member.Id.substr(1) == "3" || Member.Id.substr(1) == "7";
  };
  for (proxy_member &Member : Version.View.Proxies)
    Member.Capacity = IsLargeHost(Member) ? 250 : 50;
  backend_server Server;
  Server.Slots = 6;
  Version.View.Servers.assign(200, Server);

  std::map<std::string, double> Share;
  constexpr int Answers = 2'000;
  for (std::uint64_t Nonce = 0; Nonce < Answers; ++Nonce) {
    auto Addresses = callerAddresses(Version, "b", Nonce);
    REQUIRE(Addresses.size() >= MinCallerAddresses);
    for (const std::string &Address : Addresses)
      Share[Address] += 1.0 / static_cast<double>(Addresses.size()) / Answers;
  }
  double LargeHostShare = 0;
  request_rate Carried = 0;
  for (const proxy_member &Member : Version.View.Proxies)
    if (Share.contains(Member.CallerAddress)) {
      LargeHostShare += IsLargeHost(Member) ? Share[Member.CallerAddress] : 0;
      Carried += Member.Capacity;
    }
  CHECK(Carried >= requiredRequestRate(Version.View));
  CHECK(LargeHostShare > 0.75);

  SECTION("without the large hosts, enough of the others are used") {
    std::erase_if(Version.View.Proxies, IsLargeHost);
    std::set<std::string> Used;
    for (std::uint64_t Nonce = 0; Nonce < 50; ++Nonce)
      for (const std::string &Address : callerAddresses(Version, "b", Nonce))
        Used.insert(Address);
    CHECK(static_cast<double>(Used.size()) * 50 >=
          requiredRequestRate(Version.View));
  }
}

TEST_CASE("a daemon that is not ready does not offer itself") {
  fleet_version Version;
  Version.SelfId = "a0";
  Version.View.Proxies = fleet(1);
  for (const std::string &Address : callerAddresses(Version, "a", 1))
    CHECK(Address != "a0:2");
  Version.Ready = true;
  CHECK(callerAddresses(Version, "a", 1).size() == 3);
}

TEST_CASE("store readers are in different data centres") {
  auto Members = fleet(5);
  auto Readers = chooseStoreReaders(Members);
  REQUIRE(Readers.size() == StoreReaderCount);
  std::set<char> DataCentres;
  for (const std::string &Reader : Readers)
    DataCentres.insert(Reader.front());
  CHECK(DataCentres.size() == StoreReaderCount);
  CHECK(chooseStoreReaders(std::span(Members).first(1)).size() == 1);
  CHECK(chooseStoreReaders({}).empty());
}
