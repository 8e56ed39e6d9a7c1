#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endiverail;
using namespace endiverail::test;

namespace {

std::size_t startedAt(const nlohmann::json &Servers,
                      const std::string &Address) {
  for (const auto &Server : Servers)
    if (Server["address"] == Address)
      return Server["started"];
  return 0;
}

} // namespace

TEST_CASE_METHOD(fleet_fixture,
                 "answers that are not right never get through") {
  makeReady();
  for (const char *Fault : {"cut", "foreign", "error"}) {
    INFO(Fault);
    // One of the backend servers misbehaves on all it gets.
    order({{"target", "server"},
           {"address", Scenario.Servers[0].Address},
           {"fault", Fault}});
    for (int Count = 0; Count < 40; ++Count) {
      std::string Id = Fault + std::to_string(Count);
      std::string Answer = raw(static_cast<std::size_t>(Count) % DaemonCount,
                               request("GET", "/shop/items/1?bytes=2000", Id));
      INFO(Answer);
      bool Right = Answer.ends_with("\r\n\r\n" + answerContent(Id, 0, 2000));
      CHECK(Right);
    }
    order({{"target", "server"},
           {"address", Scenario.Servers[0].Address},
           {"fault", "none"}});
  }
}

TEST_CASE_METHOD(fleet_fixture, "writes that fail ran at most once, and what "
                                "is said not run was not") {
  makeReady();
  for (const char *Fault : {"cut", "foreign", "error", "down"}) {
    order({{"target", "server"},
           {"pool", "shop"},
           {"fault", Fault},
           {"share_percent", 50}});
    for (int Count = 0; Count < 30; ++Count) {
      std::string Id = std::string(Fault) + "-write-" + std::to_string(Count);
      INFO(Id);
      std::string Answer = raw(static_cast<std::size_t>(Count) % DaemonCount,
                               request("POST", "/shop/orders", Id));
      INFO(Answer);
      CHECK(runs(Id) <= 1);
      if (Answer.find("Endiverail-Outcome: not-run") != std::string::npos)
        CHECK(runs(Id) == 0);
    }
  }
}

TEST_CASE_METHOD(fleet_fixture, "a killing request takes two servers at most") {
  makeReady();
  for (int Resent = 0; Resent < 8; ++Resent) {
    raw(static_cast<std::size_t>(Resent) % DaemonCount,
        "GET /shop/items/killer HTTP/1.1\r\nX-Kill: 1\r\n\r\n");
    poll(nullptr, 0, 150);
  }
  std::size_t Deaths = 0;
  for (const auto &Server : servers())
    Deaths += Server["deaths"].get<std::size_t>();
  CHECK(Deaths <= 2);
  CHECK(Deaths >= 1);
}

TEST_CASE_METHOD(fleet_fixture, "a leaving server gets no new work") {
  makeReady();
  const std::string Leaving = Scenario.Servers[1].Address;
  order({{"target", "leaving"}, {"address", Leaving}});
  // The host list has told each daemon of it by then.
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    REQUIRE(
        eventually([&] { return status(Index)["host_list_revision"] == 2; }));
  poll(nullptr, 0, 100);
  std::size_t Before = startedAt(servers(), Leaving);
  for (int Count = 0; Count < 60; ++Count)
    raw(static_cast<std::size_t>(Count) % DaemonCount,
        request("GET", "/shop/items/1", "after"));
  CHECK(startedAt(servers(), Leaving) == Before);
}

TEST_CASE_METHOD(fleet_fixture, "a server's own word of leaving is enough") {
  makeReady();
  order({{"target", "hosts"}, {"frozen", true}});
  const std::string Leaving = Scenario.Servers[1].Address;
  order({{"target", "leaving"}, {"address", Leaving}});
  auto SendSome = [&] {
    for (int Count = 0; Count < 30; ++Count)
      raw(static_cast<std::size_t>(Count) % DaemonCount,
          request("GET", "/shop/items/1", "after"));
  };
  REQUIRE(eventually([&] {
    SendSome();
    return sawEvent(0, "server-leaving") || sawEvent(1, "server-leaving") ||
           sawEvent(2, "server-leaving");
  }));
  poll(nullptr, 0, 500);
  std::size_t Before = startedAt(servers(), Leaving);
  SendSome();
  CHECK(startedAt(servers(), Leaving) == Before);
}

TEST_CASE_METHOD(fleet_fixture, "a server that hangs is ejected, not below the "
                                "floor, and comes back") {
  makeReady();
  const std::string Sick = Scenario.Servers[2].Address;
  order({{"target", "server"}, {"address", Sick}, {"fault", "error"}});
  auto SendSome = [&] {
    for (int Count = 0; Count < 20; ++Count)
      raw(static_cast<std::size_t>(Count) % DaemonCount,
          request("GET", "/shop/items/1", "load"));
  };
  auto Saw = [&](const char *Kind) {
    return sawEvent(0, Kind) || sawEvent(1, Kind) || sawEvent(2, Kind);
  };
  REQUIRE(eventually([&] {
    SendSome();
    return Saw("server-ejected");
  }));
  order({{"target", "server"}, {"address", Sick}, {"fault", "none"}});
  CHECK(eventually([&] {
    SendSome();
    return Saw("server-returned");
  }));
}
