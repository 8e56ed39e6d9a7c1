#include "store_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

TEST_CASE("all daemons register again when the store has lost their "
          "registrations") {
  store_fleet Fleet(10);
  Fleet.configure(1);
  Fleet.advance(5s);
  Fleet.returnFromOlderCopy();
  Fleet.advance(5s);
  CHECK(Fleet.registeredDaemons() == 10);
}

TEST_CASE("registrations after the store's return don't come as a burst") {
  constexpr std::size_t Count = 111;
  // Writes that the platform's store takes from the whole fleet.
  constexpr std::size_t MaxWritesPerTenth = 40;
  store_fleet Fleet(Count);
  Fleet.configure(1);
  Fleet.advance(8s);
  Fleet.returnFromOlderCopy();
  std::size_t Before = Fleet.totalCalls();
  std::size_t Most = 0;
  for (milliseconds Time(0); Time < 5s; Time += 100ms) {
    std::size_t Registrations = Fleet.registrations();
    Fleet.advance(100ms);
    Most = std::max(Most, Fleet.registrations() - Registrations);
  }
  CHECK(Fleet.registeredDaemons() == Count);
  CHECK(Most <= MaxWritesPerTenth);
  // Readers learn of it by their own calls, some from each other beside.
  CHECK(Fleet.registrations() <= Count + Fleet.readers().size());
  // A registration and a listing of the members each, beside the usual reads
  // of the readers, which are two a second of the servers and of the
  // configuration.
  CHECK(Fleet.totalCalls() - Before <=
        2 * Count + Fleet.readers().size() * (2 + 5 * 4));
}

TEST_CASE("a daemon that hears of the store's return keeps its version and "
          "its servers") {
  store_fleet Fleet(10);
  Fleet.configure(2);
  Fleet.announceServer("a", 1);
  Fleet.advance(5s);
  std::vector<std::size_t> Readers = Fleet.readers();
  Fleet.returnFromOlderCopy();
  for (milliseconds Time(0); Time < 5s; Time += 10ms) {
    Fleet.advance(10ms);
    for (std::size_t Index = 0; Index < 10; ++Index) {
      REQUIRE(Fleet.versionAt(Index) == 2);
      REQUIRE(Fleet.maySendTo(Index, "a"));
    }
  }
}

TEST_CASE("a daemon that hears of the store's return does not use the answer "
          "to a read from before as a page of a listing") {
  store_control_settings Settings;
  Settings.Self = {"d0", "even", "10.0.0.1:1", 1, true, "10.0.0.1:10"};
  store_control_state State(Settings);
  steady_time Now{1h};
  store_control_actions Actions;
  State.tick(Now, Actions);
  published_configuration Decoded;
  Decoded.Version = 1;
  Decoded.Routes = std::make_shared<route_table>();
  State.onConfiguration(Decoded, "configuration", Now);
  State.acceptHistory(store_topic::BackendServers, 4, Now, Actions);
  State.onPage(store_topic::BackendServers, {{}, false, 7}, Now, Actions);
  State.acceptHistory(store_topic::Configuration, 4, Now, Actions);
  State.onPage(store_topic::Configuration, {{}, false, 1}, Now, Actions);
  // Reads from offsets of history 4 are pending from here on.
  Now += 2s;
  State.tick(Now, Actions);
  Actions.clear();
  peer_message Heard;
  Heard.Gossip.Kind = gossip_kind::ItemsOnly;
  Heard.Gossip.SenderId = "d1";
  Heard.StoreHistory = 5;
  State.onDatagram(Heard, Now, Actions);
  std::set<store_topic> Abandoned;
  for (const store_control_action &Action : Actions)
    if (const auto *Abandon = std::get_if<abandon_store_calls>(&Action))
      Abandoned.insert(Abandon->Topic);
  CHECK(Abandoned.contains(store_topic::BackendServers));
  CHECK(Abandoned.contains(store_topic::Configuration));
  Actions.clear();
  State.tick(Now + 1s, Actions);
  std::set<store_topic> Listed;
  for (const store_control_action &Action : Actions)
    if (const auto *Start = std::get_if<start_store_call>(&Action)) {
      CHECK_FALSE(std::holds_alternative<read_records>(Start->Call));
      if (const auto *List = std::get_if<list_newest>(&Start->Call))
        Listed.insert(List->Topic);
    }
  CHECK(Listed.contains(store_topic::BackendServers));
  CHECK(Listed.contains(store_topic::Configuration));
  // It tells others, and a late answer isn't used.
  Actions.clear();
  State.onMember("d1", "10.0.0.2:1");
  State.tick(Now + 2s, Actions);
  std::size_t Datagrams = 0;
  for (const store_control_action &Action : Actions)
    if (const auto *Send = std::get_if<send_datagram>(&Action)) {
      ++Datagrams;
      CHECK(Send->Message.StoreHistory == 5);
    }
  CHECK(Datagrams > 0);
  auto Copy = State.copyForPeer(Now + 2s);
  REQUIRE(Copy);
  CHECK(Copy->StoreHistory == 5);
  CHECK_FALSE(
      State.acceptHistory(store_topic::BackendServers, 4, Now + 2s, Actions));
}

TEST_CASE("a daemon that starts with a copy from before the store's return "
          "keeps the servers that the store lacks for a while") {
  store_control_settings Settings;
  Settings.Self = {"d0", "even", "10.0.0.1:1", 1, true, "10.0.0.1:10"};
  store_control_state State(Settings);
  steady_time Now{1h};
  store_control_actions Actions;
  State.tick(Now, Actions);
  server_statement Server;
  Server.Id = "a";
  Server.Entry.Server.Address = "a:1";
  published_configuration Decoded;
  Decoded.Version = 1;
  Decoded.Routes = std::make_shared<route_table>();
  bool HeardBefore = GENERATE(false, true);
  if (HeardBefore)
    State.acceptHistory(store_topic::Configuration, 5, Now, Actions);
  State.onCopy("10.0.0.2:1", {1, "configuration", {Server}, 4}, Decoded, Now,
               Actions);
  CHECK(State.acceptHistory(store_topic::BackendServers, 5, Now, Actions) ==
        HeardBefore);
  Now += 100ms;
  State.tick(Now, Actions);
  State.acceptHistory(store_topic::BackendServers, 5, Now, Actions);
  State.onPage(store_topic::BackendServers, {{}, false, 7}, Now, Actions);
  CHECK(State.serverCount() == 1);
  State.tick(Now + 3s, Actions);
  CHECK(State.serverCount() == 0);
}
