#pragma once

#include "process/store_control_state.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endiverail::test {

using namespace std::chrono_literals;

/// A small fleet and a store that answers or not. Datagrams arrive at once,
/// unless a test loses them.
class store_fleet {
public:
  explicit store_fleet(std::size_t Count) {
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
    Daemons.emplace_back(store_control_state(Settings)).LastTurn = Now;
    Indices[address(Index)] = Index;
  }

  static std::string address(std::size_t Index) {
    return "10.0.0." + std::to_string(Index + 1) + ":1";
  }

  void pass(milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += 10ms) {
      Now += 10ms;
      wakeReads();
      for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
        takeDelayed(Index);
        if (Daemons[Index].Paused || !takesTurn(Index))
          continue;
        endUnanswered(Index);
        daemon &Daemon = Daemons[Index];
        steady_time Due = std::max(Daemon.State.nextWake(),
                                   std::exchange(Daemon.LastTurn, Now));
        if (Now >= Due) {
          Daemon.State.noteLate(
              std::chrono::duration_cast<milliseconds>(Now - Due), Now);
          store_control_actions Actions;
          Daemon.State.tick(Now, Actions);
          perform(Index, Actions);
        }
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
    if (std::exchange(Daemon.Hangs, false) || !Daemon.Reaches) {
      Daemon.State.onCallFailed(Topic, Now, Actions);
    } else {
      noteAnswering(Index, Topic);
      Daemon.State.onPage(Topic, {{}, false, ConfigurationEnd}, Now, Actions);
    }
    perform(Index, Actions);
  }

  /// Calls that got no answer end by their caller's timeout.
  void endUnanswered(std::size_t Index) {
    auto &Calls = Daemons[Index].Unanswered;
    while (!Calls.empty() && Now >= Calls.front().second) {
      store_topic Topic = Calls.front().first;
      Calls.pop_front();
      store_control_actions Actions;
      Daemons[Index].State.onCallFailed(Topic, Now, Actions);
      perform(Index, Actions);
    }
  }

  void configure(std::uint64_t Version) {
    ConfigurationVersion = Version;
    ++ConfigurationEnd;
    ConfigurationChanged = true;
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

  /// The store removes a server's entry.
  void remove(std::string Id) {
    ServerLog.emplace_back(std::move(Id), std::nullopt);
  }

  std::size_t leavingAt(std::size_t Index) const {
    return serversAt(Index, server_state::Leaving);
  }

  bool allHaveVersion(std::uint64_t Version) const {
    return std::ranges::all_of(Daemons, [&](const daemon &Each) {
      return Each.State.version() == Version;
    });
  }

  /// Versions that a daemon has published.
  std::uint64_t versionsAt(std::size_t Index) const {
    return Daemons[Index].Version ? Daemons[Index].Version->Number : 0;
  }

  /// Servers that may get work.
  std::size_t usableAt(std::size_t Index) const {
    return serversAt(Index, server_state::Live);
  }

  /// Whether requests at a daemon may be sent to any server.
  bool sendsRequests(std::size_t Index) const {
    return Now < Daemons[Index].State.serversUsableUntil();
  }

  /// Whether requests at a daemon may be sent to a server.
  bool mayGetWork(std::size_t Index, std::string_view Server) const {
    const auto &Version = Daemons[Index].Version;
    return Version && sendsRequests(Index) &&
           std::ranges::any_of(
               Version->View.Servers, [&](const backend_server &Each) {
                 return Each.Address == std::string(Server) + ":1" &&
                        Each.State == server_state::Live;
               });
  }

  std::uint64_t versionAt(std::size_t Index) const {
    return Daemons[Index].State.version();
  }

  /// What daemons of the fleet take the readers to be.
  std::vector<std::size_t> readers() const {
    std::vector<std::string> Ids =
        chooseStoreReaders(Daemons.front().Version->View.Proxies);
    std::vector<std::size_t> Indices;
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      if (std::ranges::find(Ids, "d" + std::to_string(Index)) != Ids.end())
        Indices.push_back(Index);
    return Indices;
  }

  /// Whether a datagram to the daemon of that index is lost.
  std::function<bool(std::size_t)> Loses = [](std::size_t) { return false; };

  void setReaches(std::size_t Index, bool Reaches) {
    Daemons[Index].Reaches = Reaches;
  }

  /// The store takes a daemon's reads and does not answer them.
  void setUnanswered(std::size_t Index, bool Unanswered) {
    Daemons[Index].GetsNoAnswer = Unanswered;
  }

  /// The connection to the store that a daemon has kept goes silent.
  void setKeptConnectionSilent(std::size_t Index, bool Silent) {
    Daemons[Index].KeptConnectionSilent = Silent;
  }

  /// Datagrams to a daemon take that long; what is on its way arrives.
  void setDelay(std::size_t Index, milliseconds Delay) {
    Daemons[Index].Delay = Delay;
  }

  /// A daemon does nothing and hears nothing.
  void setPaused(std::size_t Index, bool Paused) {
    Daemons[Index].Paused = Paused;
  }

  /// A daemon's control thread gets the processor once in that time: what has
  /// come to it waits until then.
  void setStarved(std::size_t Index, milliseconds Pause) {
    Daemons[Index].Starved = Pause;
    Daemons[Index].NextTurn = Now + Pause;
  }

  /// Most records that a read of the backend servers brings.
  std::size_t PageRecords = std::numeric_limits<std::size_t>::max();

  bool settledAt(std::size_t Index) const {
    return Daemons[Index].Version && Daemons[Index].Version->MembershipSettled;
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
    bool GetsNoAnswer = false;
    bool KeptConnectionSilent = false;
    /// How long datagrams take to it.
    milliseconds Delay{0};
    std::deque<std::pair<steady_time, peer_message>> OnTheWay;
    /// When the calls end that get no answer.
    std::deque<std::pair<store_topic, steady_time>> Unanswered;
    bool Paused = false;
    /// The pause between two turns; 0 for a daemon that is never late.
    milliseconds Starved{0};
    steady_time NextTurn;
    steady_time LastTurn;
    /// What waits for the next turn.
    std::vector<peer_message> Datagrams;
    std::vector<store_call> Answers;
    /// Calls that wait for their connections.
    std::vector<store_call> Connecting;
  };

  /// Servers of that state in the version that a daemon has published.
  std::size_t serversAt(std::size_t Index, server_state State) const {
    const auto &Version = Daemons[Index].Version;
    return Version ? static_cast<std::size_t>(std::ranges::count(
                         Version->View.Servers, State, &backend_server::State))
                   : 0;
  }

  void perform(std::size_t Index, store_control_actions &Actions) {
    for (store_control_action &Action : Actions) {
      if (auto *Start = std::get_if<start_store_call>(&Action))
        answer(Index, *Start);
      if (const auto *Abandon = std::get_if<abandon_store_calls>(&Action))
        abandon(Index, Abandon->Topic);
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
    if (std::exchange(ConfigurationChanged, false))
      wakeReads();
  }

  /// Lets a starved daemon take what has waited, if its turn has come.
  bool takesTurn(std::size_t Index) {
    daemon &Daemon = Daemons[Index];
    bool Starved = Daemon.Starved.count() > 0;
    if (Starved && Now < Daemon.NextTurn)
      return false;
    Daemon.NextTurn = Now + Daemon.Starved;
    for (const peer_message &Message : std::exchange(Daemon.Datagrams, {}))
      take(Index, Message);
    for (const store_call &Call : std::exchange(Daemon.Answers, {}))
      answerNow(Index, Call);
    for (const store_call &Call : std::exchange(Daemon.Connecting, {})) {
      noteSent(Index, Call);
      if (Starved)
        Daemon.Answers.push_back(Call);
      else
        answerNow(Index, Call);
    }
    return true;
  }

  void abandon(std::size_t Index, store_topic Topic) {
    daemon &Daemon = Daemons[Index];
    auto Reads = [&](const store_call &Call) {
      return topicRead(Call) == Topic;
    };
    if (Daemon.Waiting && Daemon.Waiting->Topic == Topic) {
      Daemon.Waiting.reset();
      Daemon.Hangs = false;
    }
    std::erase_if(Daemon.Unanswered,
                  [&](const auto &Call) { return Call.first == Topic; });
    std::erase_if(Daemon.Answers, Reads);
    std::erase_if(Daemon.Connecting, Reads);
  }

  /// The topic that a call reads, if it reads one.
  static std::optional<store_topic> topicRead(const store_call &Call) {
    if (std::holds_alternative<put_record>(Call))
      return std::nullopt;
    return std::visit([](const auto &Made) { return Made.Topic; }, Call);
  }

  void noteSent(std::size_t Index, const store_call &Call) {
    if (auto Topic = topicRead(Call))
      Daemons[Index].State.onCallSent(*Topic, Now);
  }

  void noteAnswering(std::size_t Index, store_topic Topic) {
    if (Daemons[Index].Reaches)
      Daemons[Index].State.onCallAnswering(Topic, Now);
  }

  void take(std::size_t Index, const peer_message &Message) {
    store_control_actions Actions;
    Daemons[Index].State.onDatagram(Message, Now, Actions);
    perform(Index, Actions);
  }

  void deliver(std::size_t, const endpoint_text &To,
               const peer_message &Message) {
    auto Found = Indices.find(To);
    if (Found == Indices.end() || Found->second >= Daemons.size() ||
        Loses(Found->second) || Daemons[Found->second].Paused)
      return;
    if (daemon &Receiver = Daemons[Found->second]; Receiver.Delay.count() > 0)
      Receiver.OnTheWay.emplace_back(Now + Receiver.Delay, Message);
    else
      arrive(Found->second, Message);
  }

  void arrive(std::size_t Index, const peer_message &Message) {
    if (Daemons[Index].Starved.count() > 0)
      Daemons[Index].Datagrams.push_back(Message);
    else
      take(Index, Message);
  }

  /// Lets the datagrams arrive whose delay has passed.
  void takeDelayed(std::size_t Index) {
    auto &OnTheWay = Daemons[Index].OnTheWay;
    while (!OnTheWay.empty() && Now >= OnTheWay.front().first) {
      peer_message Message = std::move(OnTheWay.front().second);
      OnTheWay.pop_front();
      arrive(Index, Message);
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

  void answer(std::size_t Index, const start_store_call &Start) {
    daemon &Daemon = Daemons[Index];
    const store_call &Call = Start.Call;
    bool Kept = Start.Connection == connection_choice::Reuse;
    bool Silent = Daemon.GetsNoAnswer || (Kept && Daemon.KeptConnectionSilent);
    ++Daemon.Calls;
    if (auto Topic = topicRead(Call); Silent && Topic)
      Daemon.Unanswered.emplace_back(*Topic, Now + 1'000ms);
    else if (Daemon.Starved.count() == 0)
      answerNow(Index, Call);
    else if (Kept)
      Daemon.Answers.push_back(Call);
    else
      Daemon.Connecting.push_back(Call);
  }

  void answerNow(std::size_t Index, const store_call &Call) {
    daemon &Daemon = Daemons[Index];
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
    noteAnswering(Index, Topic);
    if (!Daemons[Index].Reaches)
      return State.onCallFailed(Topic, Now, Actions);
    keyed_page Page;
    if (Topic == store_topic::Configuration) {
      tellConfiguration(State);
      Page.End = ConfigurationEnd;
    }
    if (Topic == store_topic::BackendServers) {
      tellServers(State, 0, ServerLog.size());
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
    noteAnswering(Index, Read.Topic);
    keyed_page Page;
    Page.End = End;
    std::uint64_t Records = End - std::min(End, Read.From);
    if (Read.Topic == store_topic::BackendServers)
      Records = std::min<std::uint64_t>(Records, PageRecords);
    Page.Records.resize(Records);
    if (Read.Topic == store_topic::Configuration)
      tellConfiguration(Daemon.State);
    else
      tellServers(Daemon.State, Read.From, Records);
    Daemon.State.onPage(Read.Topic, Page, Now, Actions);
  }

  void tellServers(store_control_state &State, std::uint64_t From,
                   std::uint64_t Records) const {
    for (std::uint64_t At = From; At < From + Records; ++At)
      if (const auto &[Id, Entry] = ServerLog[At]; Entry)
        State.onServer(Id, *Entry, Now);
      else
        State.onServerRemoved(Id, Now);
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
  std::map<endpoint_text, std::size_t> Indices;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t ConfigurationEnd = 0;
  /// Reads that wait for it are to be answered.
  bool ConfigurationChanged = false;
  /// Whether daemons answer peers that ask for a copy.
  bool GivesCopies = true;
  /// Without an entry, the server was removed.
  std::vector<std::pair<std::string, std::optional<server_entry>>> ServerLog;
  std::vector<std::pair<std::string, endpoint_text>> MemberLog;
};

} // namespace endiverail::test
