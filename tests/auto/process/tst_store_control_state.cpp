#include "event_capture.h"
#include "store_fleet.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

struct ten_daemons : store_fleet {
  ten_daemons() : store_fleet(10) {
    configure(1);
    announceServer("a", 1);
    announceServer("b", 1);
    advance(5s);
  }
};

} // namespace

TEST_CASE_METHOD(ten_daemons, "daemons discover each other and become ready") {
  for (const daemon &Daemon : Daemons) {
    REQUIRE(Daemon.Version);
    CHECK(Daemon.Version->Ready);
    CHECK(Daemon.Version->View.Proxies.size() == 10);
    CHECK(Daemon.Version->View.Servers.size() == 2);
  }
}

TEST_CASE("daemons that start together know all members within half a second") {
  // After a power failure callers return at once, and a daemon that doesn't
  // know the entry hosts yet directs them to any host.
  constexpr std::size_t Count = 60;
  store_fleet Fleet(Count);
  Fleet.advance(500ms);
  std::vector<std::size_t> Known;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Known.push_back(Fleet.membersAt(Index));
  CHECK(std::ranges::min(Known) == Count);
  // One version every 100 ms, and one each for the start, the configuration,
  // the servers and the settling of the members.
  for (std::size_t Index = 0; Index < Count; ++Index)
    CHECK(Fleet.publishedVersionsAt(Index) <= 500 / 100 + 4);
}

TEST_CASE("a daemon reports when its list of members has settled") {
  struct row {
    std::string What;
    bool StoreAnswers;
    milliseconds After;
    bool Settled;
  };
  auto Row = GENERATE(
      row{"right after the start", true, 100ms, false},
      row{"after the initial pings", true, 500ms, true},
      row{"while the store is unavailable", false, 500ms, false},
      row{"store unavailable, after the gossip has spread", false, 2s, true});
  INFO(Row.What);
  store_fleet Fleet(0);
  for (std::size_t Index = 0; Index < 4; ++Index) {
    Fleet.start(Index);
    Fleet.setStoreReachable(Index, Row.StoreAnswers);
  }
  Fleet.advance(Row.After);
  CHECK(Fleet.settledAt(2) == Row.Settled);
}

TEST_CASE_METHOD(ten_daemons,
                 "only a few daemons poll the servers on behalf of all") {
  std::size_t Before = totalCalls();
  advance(10s);
  // Three readers that read the servers twice a second, and their long-polling
  // reads of the configuration.
  CHECK(totalCalls() - Before <= 3 * 22 + 3 * 15);
}

TEST_CASE_METHOD(
    ten_daemons,
    "only a few daemons read a new configuration on behalf of all") {
  std::size_t Before = totalCalls();
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    configure(Version);
    advance(1s);
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      CHECK(versionAt(Index) == Version);
  }
  // In addition to the periodic reads, three readers read each version.
  CHECK(totalCalls() - Before <= 3 * 22 + 3 * 15 + 3 * 10);
}

TEST_CASE_METHOD(
    ten_daemons,
    "a configuration that no peer provides is read from the store") {
  PeersServeCopies = false;
  configure(2);
  advance(2s);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a daemon that starts without the store becomes "
                              "ready once peers serve copies") {
  for (daemon &Daemon : Daemons) {
    Daemon.StoreReachable = false;
    Daemon.PendingRead.reset();
  }
  PeersServeCopies = false;
  start(10);
  Daemons.back().StoreReachable = false;
  advance(4s);
  REQUIRE(Daemons.back().Version);
  CHECK_FALSE(Daemons.back().Version->Ready);
  PeersServeCopies = true;
  advance(3s);
  CHECK(Daemons.back().Version->Ready);
}

TEST_CASE_METHOD(
    ten_daemons,
    "a peer whose copy has no newer version is not queried again immediately") {
  store_control_state &State = Daemons[3].State;
  peer_message Announcement;
  Announcement.Gossip.Kind = gossip_kind::ItemsOnly;
  Announcement.Gossip.SenderId = "d4";
  Announcement.Digest.Configuration = 99;
  std::size_t Requests = 0;
  for (int Step = 0; Step < 200; ++Step) {
    store_control_actions Actions;
    State.onDatagram(Announcement, Now, Actions);
    State.tick(Now, Actions);
    // Each request gets an immediate response, and so does a request that
    // follows from it.
    for (std::size_t Position = 0; Position < Actions.size() && Requests < 100;
         ++Position)
      if (std::holds_alternative<fetch_copy>(Actions[Position])) {
        ++Requests;
        auto Fetch = std::get<fetch_copy>(Actions[Position]);
        State.onCopy(Fetch.From, {1, "old", {}, {}}, published(1), Now,
                     Actions);
      }
    Now += 10ms;
  }
  CHECK(Requests > 0);
  CHECK(Requests <= 2 * copy_requester::MaxFailures);
}

TEST_CASE_METHOD(ten_daemons, "a daemon that starts while the store is "
                              "unavailable is ready within two seconds") {
  for (daemon &Daemon : Daemons) {
    Daemon.StoreReachable = false;
    Daemon.PendingRead.reset();
  }
  start(10);
  Daemons.back().StoreReachable = false;
  advance(2s);
  REQUIRE(Daemons.back().Version);
  CHECK(Daemons.back().Version->Ready);
  CHECK(Daemons.back().Version->View.Servers.size() == 2);
  CHECK(versionAt(10) == 1);
}

TEST_CASE_METHOD(ten_daemons,
                 "all daemons know of a leaving server within a second") {
  announceServer("a", 2, server_state::Leaving);
  advance(1s);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    CHECK(leavingServersAt(Index) == 1);
}

TEST_CASE_METHOD(
    ten_daemons,
    "daemons read the servers themselves if no reader can reach the store") {
  auto Readers = chooseStoreReaders(Daemons[0].Version->View.Proxies);
  for (daemon &Daemon : Daemons)
    Daemon.StoreReachable =
        std::ranges::find(Readers, Daemon.Version->SelfId) == Readers.end();
  announceServer("a", 2, server_state::Leaving);
  advance(4s);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    if (Daemons[Index].StoreReachable)
      CHECK(leavingServersAt(Index) == 1);
}

TEST_CASE_METHOD(ten_daemons,
                 "non-readers retry an unavailable store at a low rate") {
  std::vector<std::size_t> Before;
  for (daemon &Each : Daemons) {
    Each.StoreReachable = false;
    Before.push_back(Each.Calls);
  }
  advance(3'200ms);
  // After the readers' timeout: one call for each topic immediately, and as
  // many as the shortest delays of non-readers allow.
  constexpr std::size_t MostCalls =
      2 * (1 + (3'200ms - 1'600ms) /
                   (topic_consumer::NonReaderBackoff.Initial / 2));
  std::size_t WithinLimit = 0;
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    WithinLimit += Daemons[Index].Calls - Before[Index] <= MostCalls ? 1 : 0;
  CHECK(WithinLimit >= Daemons.size() - StoreReaderCount);
}

TEST_CASE_METHOD(ten_daemons,
                 "a new configuration is in force on all daemons within two "
                 "seconds, even if long-polling reads hang") {
  // All long-polling reads are on connections that stopped responding.
  for (daemon &Daemon : Daemons)
    Daemon.Hangs = Daemon.PendingRead.has_value();
  configure(2);
  advance(2s);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a daemon whose calls the store refuses gets a "
                              "version from peers without retrying too often") {
  Daemons[4].StoreReachable = false;
  Daemons[4].PendingRead.reset();
  store_control_actions Actions;
  Daemons[4].State.onCallFailed(store_topic::Configuration, Now, Actions);
  configure(2);
  std::size_t Before = Daemons[4].Calls;
  advance(2s);
  CHECK(versionAt(4) == 2);
  advance(7s);
  CHECK(Daemons[4].Calls - Before <= 40);
}

TEST_CASE_METHOD(ten_daemons, "an older configuration is never applied") {
  configure(5);
  advance(1s);
  configure(4);
  for (int Step = 0; Step < 100; ++Step) {
    advance(10ms);
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      CHECK(versionAt(Index) == 5);
  }
}

TEST_CASE_METHOD(ten_daemons,
                 "a new configuration is announced to all daemons") {
  // Gossip alone takes several of its periods of half a second.
  configure(2);
  advance(copy_requester::RequestJitter + 100ms);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(
    ten_daemons,
    "a silent connection to the store doesn't keep a configuration "
    "from a daemon that gets no copies") {
  PeersServeCopies = false;
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    setReusedConnectionSilent(Index, std::ranges::count(readers(), Index) == 0);
  configure(2);
  advance(copy_requester::RequestJitter +
          copy_requester::MaxFailures * copy_requester::RetryDelay + 100ms);
  CHECK(allHaveVersion(2));
}

TEST_CASE_METHOD(ten_daemons, "a daemon logs by which way a configuration came "
                              "and since when it was announced") {
  event_capture Events;
  configure(2);
  advance(1s);
  auto Lines = Events.lines("configuration_in_force");
  REQUIRE(Lines.size() == Daemons.size());
  auto Copied =
      std::ranges::count(Lines, "copy", [](const nlohmann::json &Line) {
        return Line["source"].get<std::string>();
      });
  CHECK(static_cast<std::size_t>(Copied) == Lines.size() - readers().size());
  for (const nlohmann::json &Line : Lines)
    CHECK((Line["source"] == "store") == (Line["announced_ms"] == 0));
}

TEST_CASE_METHOD(ten_daemons,
                 "a draining daemon is no longer offered to callers") {
  store_control_actions Actions;
  Daemons[2].State.drain({Now, Now}, Now, Actions);
  perform(2, Actions);
  advance(300ms);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
    const proxy_member *Seen = Daemons[Index].Version->View.findProxy("d2");
    REQUIRE(Seen);
    CHECK_FALSE(Seen->Offered);
  }
}

TEST_CASE_METHOD(ten_daemons, "a lost member is removed from the view") {
  Daemons.pop_back();
  advance(5s);
  CHECK(Daemons[0].Version->View.Proxies.size() == 9);
}

TEST_CASE_METHOD(ten_daemons,
                 "with the first answer from a later history of the "
                 "store, everything is read again") {
  auto Answered = GENERATE(store_topic::Configuration,
                           store_topic::BackendServers, store_topic::Members);
  std::size_t Reader = readers().front();
  store_control_state &State = Daemons[Reader].State;
  store_control_actions Actions;
  CHECK(State.acceptHistory(Answered, StoreHistory, Now, Actions));
  CHECK(Actions.empty());
  CHECK_FALSE(State.acceptHistory(Answered, StoreHistory + 1, Now, Actions));
  std::set<store_topic> Abandoned;
  std::set<store_topic> Listed;
  std::size_t Puts = 0;
  for (const store_control_action &Action : Actions) {
    if (const auto *Abandon = std::get_if<abandon_store_calls>(&Action))
      Abandoned.insert(Abandon->Topic);
    if (const auto *Start = std::get_if<start_store_call>(&Action)) {
      if (const auto *List = std::get_if<list_newest>(&Start->Call))
        Listed.insert(List->Topic);
      Puts += std::holds_alternative<put_record>(Start->Call) ? 1 : 0;
    }
  }
  // The read that waits for a record of the configuration.
  CHECK(Abandoned.contains(store_topic::Configuration));
  CHECK(Listed.contains(store_topic::Configuration));
  CHECK(Listed.contains(store_topic::BackendServers));
  CHECK(Puts == 1);
}

TEST_CASE_METHOD(ten_daemons, "an answer from an earlier history of the store "
                              "is not used, and its read is made again after a "
                              "pause") {
  std::size_t Reader = readers().front();
  store_control_state &State = Daemons[Reader].State;
  store_control_actions Actions;
  State.acceptHistory(store_topic::Configuration, StoreHistory + 1, Now,
                      Actions);
  State.onCallAnswering(store_topic::Configuration, Now);
  CHECK_FALSE(State.acceptHistory(store_topic::Configuration, StoreHistory, Now,
                                  Actions));
  auto ReadsUntil = [&](steady_time At) {
    Actions.clear();
    State.tick(At, Actions);
    return std::ranges::count_if(Actions, [](const auto &Action) {
      const auto *Start = std::get_if<start_store_call>(&Action);
      const auto *List =
          Start ? std::get_if<list_newest>(&Start->Call) : nullptr;
      return List && List->Topic == store_topic::Configuration;
    });
  };
  CHECK(ReadsUntil(Now) == 0);
  CHECK(ReadsUntil(Now + topic_consumer::ReaderBackoff.Initial) == 1);
}
