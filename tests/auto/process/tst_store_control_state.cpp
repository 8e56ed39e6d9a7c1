#include "store_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

struct ten_daemons : store_fleet {
  ten_daemons() : store_fleet(10) {
    configure(1);
    say("a", 1);
    say("b", 1);
    pass(5s);
  }
};

} // namespace

TEST_CASE_METHOD(ten_daemons, "daemons find each other and are ready") {
  for (const daemon &Daemon : Daemons) {
    REQUIRE(Daemon.Version);
    CHECK(Daemon.Version->Ready);
    CHECK(Daemon.Version->View.Proxies.size() == 10);
    CHECK(Daemon.Version->View.Servers.size() == 2);
  }
}

TEST_CASE("a fleet that starts together knows itself within half a second") {
  // The load: callers come back at once after a loss of power, and whoever
  // does not know the entries yet leads them to any host.
  constexpr std::size_t Count = 60;
  store_fleet Fleet(Count);
  Fleet.pass(500ms);
  std::vector<std::size_t> Known;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Known.push_back(Fleet.membersAt(Index));
  CHECK(std::ranges::min(Known) == Count);
  // A version each 100 ms, and one each for the start, the configuration, the
  // servers and that the members have settled.
  for (std::size_t Index = 0; Index < Count; ++Index)
    CHECK(Fleet.versionsAt(Index) <= 500 / 100 + 4);
}

TEST_CASE("callers are told for how long the members may not be known yet") {
  struct row {
    std::string What;
    bool StoreAnswers;
    milliseconds After;
    bool Settled;
  };
  auto Row = GENERATE(row{"right after the start", true, 100ms, false},
                      row{"once the others were met", true, 500ms, true},
                      row{"while the store is dark", false, 500ms, false},
                      row{"dark, once gossip has gone round", false, 2s, true});
  INFO(Row.What);
  store_fleet Fleet(0);
  for (std::size_t Index = 0; Index < 4; ++Index) {
    Fleet.start(Index);
    Fleet.setReaches(Index, Row.StoreAnswers);
  }
  Fleet.pass(Row.After);
  CHECK(Fleet.settledAt(2) == Row.Settled);
}

TEST_CASE_METHOD(ten_daemons, "few daemons read the servers for all") {
  std::size_t Before = calls();
  pass(10s);
  // Three readers twice a second, and their waiting reads of the configuration.
  CHECK(calls() - Before <= 3 * 22 + 3 * 15);
}

TEST_CASE_METHOD(ten_daemons, "few daemons read a new configuration for all") {
  std::size_t Before = calls();
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    configure(Version);
    pass(1s);
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      CHECK(versionAt(Index) == Version);
  }
  // Beside the usual reads, three readers read each version.
  CHECK(calls() - Before <= 3 * 22 + 3 * 15 + 3 * 10);
}

TEST_CASE_METHOD(ten_daemons, "a configuration that no peer hands over is read "
                              "from the store") {
  GivesCopies = false;
  configure(2);
  pass(2s);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a start in the dark outlasts peers that do not "
                              "answer for a while") {
  for (daemon &Daemon : Daemons) {
    Daemon.Reaches = false;
    Daemon.Waiting.reset();
  }
  GivesCopies = false;
  start(10);
  Daemons.back().Reaches = false;
  pass(4s);
  REQUIRE(Daemons.back().Version);
  CHECK_FALSE(Daemons.back().Version->Ready);
  GivesCopies = true;
  pass(3s);
  CHECK(Daemons.back().Version->Ready);
}

TEST_CASE_METHOD(ten_daemons,
                 "a peer whose copy tells nothing new is not asked "
                 "again at once") {
  store_control_state &State = Daemons[3].State;
  peer_message Told;
  Told.Gossip.Kind = gossip_kind::News;
  Told.Gossip.SenderId = "d4";
  Told.Digest.Configuration = 99;
  std::size_t Asked = 0;
  for (int Step = 0; Step < 200; ++Step) {
    store_control_actions Actions;
    State.onDatagram(Told, Now, Actions);
    State.tick(Now, Actions);
    // Each question is answered at once, and so is one that follows from that.
    for (std::size_t At = 0; At < Actions.size() && Asked < 100; ++At)
      if (std::holds_alternative<fetch_copy>(Actions[At])) {
        ++Asked;
        State.onCopy({1, "old", {}}, published(1), Now, Actions);
      }
    Now += 10ms;
  }
  CHECK(Asked > 0);
  CHECK(Asked <= 2 * copy_seeker::MostFailures);
}

TEST_CASE_METHOD(ten_daemons, "a daemon that starts while the store is dark is "
                              "soon ready") {
  for (daemon &Daemon : Daemons) {
    Daemon.Reaches = false;
    Daemon.Waiting.reset();
  }
  start(10);
  Daemons.back().Reaches = false;
  pass(2s);
  REQUIRE(Daemons.back().Version);
  CHECK(Daemons.back().Version->Ready);
  CHECK(Daemons.back().Version->View.Servers.size() == 2);
  CHECK(versionAt(10) == 1);
}

TEST_CASE_METHOD(ten_daemons, "all know of a leaving server within a second") {
  say("a", 2, server_state::Leaving);
  pass(1s);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    CHECK(leavingAt(Index) == 1);
}

TEST_CASE_METHOD(ten_daemons, "when no reader reaches the store the others "
                              "read for themselves") {
  auto Readers = chooseStoreReaders(Daemons[0].Version->View.Proxies);
  for (daemon &Daemon : Daemons)
    Daemon.Reaches =
        std::ranges::find(Readers, Daemon.Version->SelfId) == Readers.end();
  say("a", 2, server_state::Leaving);
  pass(4s);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    if (Daemons[Index].Reaches)
      CHECK(leavingAt(Index) == 1);
}

TEST_CASE_METHOD(ten_daemons, "a store that is away is asked rarely by those "
                              "that hear the news from others") {
  std::vector<std::size_t> Before;
  for (daemon &Each : Daemons) {
    Each.Reaches = false;
    Before.push_back(Each.Calls);
  }
  pass(3'200ms);
  // Once the readers are silent: a call a topic at once, and as many again with
  // the shortest pauses of those that hear the news from others.
  constexpr std::size_t MostCalls =
      2 *
      (1 + (3'200ms - 1'600ms) / (topic_follower::RelaxedBackOff.First / 2));
  std::size_t Rare = 0;
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    Rare += Daemons[Index].Calls - Before[Index] <= MostCalls ? 1 : 0;
  CHECK(Rare >= Daemons.size() - StoreReaderCount);
}

TEST_CASE_METHOD(ten_daemons, "a new configuration is in force everywhere "
                              "within two seconds, also where reads hang") {
  // All reads that wait are on connections that went silent.
  for (daemon &Daemon : Daemons)
    Daemon.Hangs = Daemon.Waiting.has_value();
  configure(2);
  pass(2s);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a daemon that the store turns away does not "
                              "besiege it for a version that peers know") {
  Daemons[4].Reaches = false;
  Daemons[4].Waiting.reset();
  store_control_actions Actions;
  Daemons[4].State.onCallFailed(store_topic::Configuration, Now, Actions);
  configure(2);
  std::size_t Before = Daemons[4].Calls;
  pass(2s);
  CHECK(versionAt(4) == 2);
  pass(7s);
  CHECK(Daemons[4].Calls - Before <= 40);
}

TEST_CASE_METHOD(ten_daemons, "an older configuration is never taken") {
  configure(5);
  pass(1s);
  configure(4);
  for (int Step = 0; Step < 100; ++Step) {
    pass(10ms);
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      CHECK(versionAt(Index) == 5);
  }
}

TEST_CASE_METHOD(ten_daemons, "a new configuration is announced") {
  // Gossip alone needs some of its periods of half a second.
  configure(2);
  pass(copy_seeker::Spread + 100ms);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a draining daemon is not offered any more") {
  store_control_actions Actions;
  Daemons[2].State.drain({Now, Now}, Now, Actions);
  perform(2, Actions);
  pass(300ms);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
    const proxy_member *Seen = Daemons[Index].Version->View.findProxy("d2");
    REQUIRE(Seen);
    CHECK_FALSE(Seen->Offered);
  }
}

TEST_CASE_METHOD(ten_daemons, "a lost member is left out") {
  Daemons.pop_back();
  pass(5s);
  CHECK(Daemons[0].Version->View.Proxies.size() == 9);
}
