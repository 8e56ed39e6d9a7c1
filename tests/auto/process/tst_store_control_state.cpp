#include "process/store_control_state.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

/// A small fleet whose datagrams all arrive, and a store that answers or not.
class fleet_fixture {
public:
  explicit fleet_fixture(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      start(Index);
  }

  void start(std::size_t Index) {
    store_control_settings Settings;
    Settings.Self = {"d" + std::to_string(Index),
                     Index % 2 == 0 ? "even" : "odd",
                     address(Index),
                     1,
                     true,
                     address(Index) + "0"};
    Settings.Seeds = {address(0)};
    Settings.Seed = Index + 1;
    Daemons.emplace_back(store_control_state(Settings));
  }

  static std::string address(std::size_t Index) {
    return "10.0.0." + std::to_string(Index + 1) + ":1";
  }

  void pass(milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += 10ms) {
      Now += 10ms;
      for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
        store_control_actions Actions;
        Daemons[Index].State.tick(Now, Actions);
        perform(Index, Actions);
        endWaiting(Index);
      }
    }
  }

  /// A read that waits ends with an empty page, or by its caller's timeout
  /// where it hangs.
  void endWaiting(std::size_t Index) {
    daemon &Daemon = Daemons[Index];
    if (!Daemon.Waiting || Now < Daemon.WaitingSince + Daemon.Waiting->Wait +
                                     (Daemon.Hangs ? 1'000ms : 0ms))
      return;
    store_topic Topic = Daemon.Waiting->Topic;
    Daemon.Waiting.reset();
    store_control_actions Actions;
    if (std::exchange(Daemon.Hangs, false) || !Daemon.Reaches)
      Daemon.State.onCallFailed(Topic, Now, Actions);
    else
      Daemon.State.onPage(Topic, {{}, false, ConfigurationEnd}, Now, Actions);
    perform(Index, Actions);
  }

  void configure(std::uint64_t Version) {
    ConfigurationVersion = Version;
    ++ConfigurationEnd;
  }

  void say(std::string Id, std::uint64_t Sequence,
           server_state State = server_state::Live) {
    server_entry Entry;
    Entry.Server.Address = Id + ":1";
    Entry.Server.Pool = "s";
    Entry.Server.State = State;
    Entry.Server.Slots = 6;
    Entry.Sequence = Sequence;
    ServerLog.emplace_back(std::move(Id), Entry);
  }

  std::size_t leavingAt(std::size_t Index) const {
    const auto &Version = Daemons[Index].Version;
    return Version ? static_cast<std::size_t>(std::ranges::count(
                         Version->View.Servers, server_state::Leaving,
                         &backend_server::State))
                   : 0;
  }

  std::uint64_t versionAt(std::size_t Index) const {
    return Daemons[Index].State.version();
  }

  void setReaches(std::size_t Index, bool Reaches) {
    Daemons[Index].Reaches = Reaches;
  }

  bool settledAt(std::size_t Index) const {
    return Daemons[Index].Version && Daemons[Index].Version->MembersSettled;
  }

  std::size_t membersAt(std::size_t Index) const {
    return Daemons[Index].State.members().size();
  }

protected:
  struct daemon {
    store_control_state State;
    fleet_version_ref Version;
    /// Whether the store answers this daemon.
    bool Reaches = true;
    std::size_t Calls = 0;
    std::optional<read_records> Waiting;
    steady_time WaitingSince;
    /// The read that waits is on a connection that went silent.
    bool Hangs = false;
  };

  void perform(std::size_t Index, store_control_actions &Actions) {
    for (store_control_action &Action : Actions) {
      if (auto *Start = std::get_if<start_store_call>(&Action))
        answer(Index, Start->Call);
      if (std::holds_alternative<abandon_store_calls>(Action))
        Daemons[Index].Waiting.reset();
      if (auto *Fetch = std::get_if<fetch_copy>(&Action))
        handOver(Index, Fetch->From);
      if (auto *Send = std::get_if<send_datagram>(&Action))
        deliver(Index, Send->To, Send->Message);
      if (auto *Send = std::get_if<send_to_members>(&Action))
        for (const endpoint_text &To : Send->To)
          deliver(Index, To, Send->Message);
      // Calls and datagrams end within the actions that began them, so a newer
      // version may be there already.
      if (auto *Publish = std::get_if<publish_version>(&Action))
        if (fleet_version_ref &Known = Daemons[Index].Version;
            !Known || Known->Number < Publish->Version->Number)
          Known = Publish->Version;
    }
    wakeReads();
  }

  void deliver(std::size_t, const endpoint_text &To,
               const peer_message &Message) {
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      if (address(Index) == To) {
        store_control_actions Actions;
        Daemons[Index].State.onDatagram(Message, Now, Actions);
        perform(Index, Actions);
      }
  }

  void handOver(std::size_t Index, const endpoint_text &From) {
    std::optional<fleet_copy> Copy;
    for (std::size_t Giver = 0; Giver < Daemons.size(); ++Giver)
      if (address(Giver) == From && GivesCopies)
        Copy = Daemons[Giver].State.copyForPeer(Now);
    store_control_state &State = Daemons[Index].State;
    if (!Copy)
      return State.onCopyFailed(Now);
    store_control_actions Actions;
    State.onCopy(*Copy, published(Copy->Version), Now, Actions);
    perform(Index, Actions);
  }

  std::size_t calls() const {
    return std::transform_reduce(Daemons.begin(), Daemons.end(), std::size_t{0},
                                 std::plus{},
                                 [](const daemon &Each) { return Each.Calls; });
  }

  void answer(std::size_t Index, const store_call &Call) {
    daemon &Daemon = Daemons[Index];
    ++Daemon.Calls;
    store_control_actions Actions;
    if (const auto *Put = std::get_if<put_record>(&Call)) {
      if (Daemon.Reaches)
        MemberLog.emplace_back(Put->Key, *Put->Value);
      Daemon.State.onPut(Daemon.Reaches, Now);
    }
    if (const auto *List = std::get_if<list_newest>(&Call))
      list(Index, List->Topic, Actions);
    if (const auto *Read = std::get_if<read_records>(&Call))
      read(Index, *Read, Actions);
    perform(Index, Actions);
  }

  void list(std::size_t Index, store_topic Topic,
            store_control_actions &Actions) {
    store_control_state &State = Daemons[Index].State;
    if (!Daemons[Index].Reaches)
      return State.onCallFailed(Topic, Now, Actions);
    keyed_page Page;
    if (Topic == store_topic::Configuration) {
      tellConfiguration(State);
      Page.End = ConfigurationEnd;
    }
    if (Topic == store_topic::BackendServers) {
      for (const auto &[Id, Entry] : ServerLog)
        State.onServer(Id, Entry, Now);
      Page.End = ServerLog.size();
    }
    if (Topic == store_topic::Members)
      for (const auto &[Id, Peer] : MemberLog)
        State.onMember(Id, Peer);
    State.onPage(Topic, Page, Now, Actions);
  }

  void read(std::size_t Index, const read_records &Read,
            store_control_actions &Actions) {
    daemon &Daemon = Daemons[Index];
    if (!Daemon.Reaches)
      return Daemon.State.onCallFailed(Read.Topic, Now, Actions);
    std::uint64_t End = Read.Topic == store_topic::Configuration
                            ? ConfigurationEnd
                            : ServerLog.size();
    if (Read.From >= End && Read.Wait.count() > 0) {
      Daemon.Waiting = Read;
      Daemon.WaitingSince = Now;
      return;
    }
    keyed_page Page;
    Page.End = End;
    Page.Records.resize(End - std::min(End, Read.From));
    if (Read.Topic == store_topic::Configuration)
      tellConfiguration(Daemon.State);
    else
      for (std::uint64_t At = Read.From; At < End; ++At)
        Daemon.State.onServer(ServerLog[At].first, ServerLog[At].second, Now);
    Daemon.State.onPage(Read.Topic, Page, Now, Actions);
  }

  static published_configuration published(std::uint64_t Version) {
    published_configuration Configuration;
    Configuration.Version = Version;
    Configuration.Routes = std::make_shared<route_table>();
    return Configuration;
  }

  void tellConfiguration(store_control_state &State) const {
    if (ConfigurationVersion > 0)
      State.onConfiguration(published(ConfigurationVersion), "configuration");
  }

  void wakeReads() {
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
      daemon &Daemon = Daemons[Index];
      if (!Daemon.Waiting || !Daemon.Reaches || Daemon.Hangs ||
          Daemon.Waiting->From >= ConfigurationEnd)
        continue;
      read_records Read = *Daemon.Waiting;
      Daemon.Waiting.reset();
      store_control_actions Actions;
      read(Index, Read, Actions);
      perform(Index, Actions);
    }
  }

  steady_time Now{1h};
  std::vector<daemon> Daemons;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t ConfigurationEnd = 0;
  /// Whether daemons answer peers that ask for a copy.
  bool GivesCopies = true;
  std::vector<std::pair<std::string, server_entry>> ServerLog;
  std::vector<std::pair<std::string, endpoint_text>> MemberLog;
};

struct ten_daemons : fleet_fixture {
  ten_daemons() : fleet_fixture(10) {
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
  fleet_fixture Fleet(Count);
  Fleet.pass(500ms);
  std::vector<std::size_t> Known;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Known.push_back(Fleet.membersAt(Index));
  CHECK(std::ranges::min(Known) == Count);
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
  fleet_fixture Fleet(0);
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
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    CHECK(versionAt(Index) == 2);
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
  auto Readers = storeReaders(Daemons[0].Version->View.Proxies);
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
  CHECK(Rare >= Daemons.size() - StoreReaders);
}

TEST_CASE_METHOD(ten_daemons, "a new configuration is in force everywhere "
                              "within two seconds, also where reads hang") {
  // All reads that wait are on connections that went silent.
  for (daemon &Daemon : Daemons)
    Daemon.Hangs = Daemon.Waiting.has_value();
  configure(2);
  pass(2s);
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    CHECK(versionAt(Index) == 2);
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
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    CHECK(versionAt(Index) == 2);
}

TEST_CASE_METHOD(ten_daemons, "a draining daemon is not offered any more") {
  store_control_actions Actions;
  Daemons[2].State.drain(Actions);
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
