#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE_METHOD(fleet_fixture,
                 "a server that one proxy alone can't hear is not "
                 "ejected, but passes to another owner") {
  makeReady();
  // Each proxy in turn hears nothing from one server, which it may own.
  const std::string Server = Scenario.Servers[0].Address;
  for (std::size_t Deaf = 0; Deaf < DaemonCount; ++Deaf) {
    order({{"target", "server"},
           {"address", Server},
           {"fault", "hang"},
           {"proxy", Scenario.EntryHosts[Deaf].Id}});
    std::size_t Number = 0;
    bool PassedOn = eventually([&] {
      bool Owns = false;
      const nlohmann::json Status = status(Deaf);
      for (const auto &Entry : Status.value("servers", nlohmann::json()))
        Owns |= Entry["server"] == Server && Entry["standing"] != "leaving";
      for (int Count = 0; Count < 10; ++Count)
        raw(Deaf, request("GET", "/shop/items/1?bytes=10",
                          "deaf-" + std::to_string(++Number)));
      return !Owns;
    });
    CHECK(PassedOn);
  }
  for (std::size_t Index = 0; Index < DaemonCount; ++Index) {
    INFO(get(Index, "/endiverail/timeline").Body);
    CHECK_FALSE(sawEvent(Index, "server-ejected"));
  }
}
