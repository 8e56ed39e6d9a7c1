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
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiverail::test {

using namespace std::chrono_literals;

/// A simulated fleet and its store. The store can be made unreachable or
/// unresponsive; datagrams arrive immediately unless a test drops or delays
/// them.
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

  void advance(milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += 10ms) {
      Now += 10ms;
      completePendingReads();
      for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
        deliverDelayed(Index);
        if (Daemons[Index].Paused || !takeTurn(Index))
          continue;
        endUnanswered(Index);
        daemon &Daemon = Daemons[Index];
        steady_time Due = std::max(Daemon.State.nextWake(),
                                   std::exchange(Daemon.LastTurn, Now));
        if (Now >= Due) {
          Daemon.State.recordDelay(
              std::chrono::duration_cast<milliseconds>(Now - Due), Now);
          store_control_actions Actions;
          Daemon.State.tick(Now, Actions);
          perform(Index, Actions);
        }
        endPendingRead(Index);
      }
    }
  }

  /// Ends a long-polling read with an empty page, or with the caller's timeout
  /// if the read hangs.
  void endPendingRead(std::size_t Index) {
    daemon &Daemon = Daemons[Index];
    if (!Daemon.PendingRead || Now < Daemon.PendingReadSince +
                                         Daemon.PendingRead->MaxWait +
                                         (Daemon.Hangs ? 1'000ms : 0ms))
      return;
    store_topic Topic = Daemon.PendingRead->Topic;
    Daemon.PendingRead.reset();
    store_control_actions Actions;
    if (std::exchange(Daemon.Hangs, false) || !Daemon.StoreReachable) {
      Daemon.State.onCallFailed(Topic, Now, Actions);
    } else if (acceptsAnswer(Index, Topic)) {
      reportAnswering(Index, Topic);
      Daemon.State.onPage(Topic, {{}, false, ConfigurationEnd}, Now, Actions);
    }
    perform(Index, Actions);
  }

  /// Ends calls without a response by their caller's timeout.
  void endUnanswered(std::size_t Index) {
    auto &Calls = Daemons[Index].UnansweredCalls;
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

  void announceServer(std::string Id, std::uint64_t Sequence,
                      server_state State = server_state::Live) {
    server_entry Entry;
    Entry.Server.Address = Id + ":1";
    Entry.Server.Pool = "s";
    Entry.Server.State = State;
    Entry.Server.Slots = 6;
    Entry.Sequence = Sequence;
    ServerLog.emplace_back(std::move(Id), Entry);
  }

  /// The store returns from a copy without the daemons' registrations.
  void returnFromOlderCopy() {
    ++StoreHistory;
    MemberLog.clear();
  }

  /// Number of registrations since the store's start or last return.
  std::size_t registrations() const { return MemberLog.size(); }

  /// Number of daemons whose registrations the store holds.
  std::size_t registeredDaemons() const {
    std::set<std::string> Ids;
    for (const auto &[Id, Peer] : MemberLog)
      Ids.insert(Id);
    return Ids.size();
  }

  /// The store removes a server's entry.
  void remove(std::string Id) {
    ServerLog.emplace_back(std::move(Id), std::nullopt);
  }

  std::size_t leavingServersAt(std::size_t Index) const {
    return serversAt(Index, server_state::Leaving);
  }

  bool allHaveVersion(std::uint64_t Version) const {
    return std::ranges::all_of(Daemons, [&](const daemon &Each) {
      return Each.State.version() == Version;
    });
  }

  /// Number of versions that a daemon has published.
  std::uint64_t publishedVersionsAt(std::size_t Index) const {
    return Daemons[Index].Version ? Daemons[Index].Version->Number : 0;
  }

  /// Number of servers that may receive requests.
  std::size_t usableServersAt(std::size_t Index) const {
    return serversAt(Index, server_state::Live);
  }

  /// Whether a daemon may send requests to any server.
  bool sendsRequests(std::size_t Index) const {
    return Now < Daemons[Index].State.serversUsableUntil();
  }

  /// Whether a daemon may send requests to the given server.
  bool maySendTo(std::size_t Index, std::string_view Server) const {
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

  /// The daemons that the fleet has selected as readers.
  std::vector<std::size_t> readers() const {
    std::vector<std::string> Ids =
        chooseStoreReaders(Daemons.front().Version->View.Proxies);
    std::vector<std::size_t> Indices;
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      if (std::ranges::find(Ids, "d" + std::to_string(Index)) != Ids.end())
        Indices.push_back(Index);
    return Indices;
  }

  /// Whether a datagram to the daemon with the given index is lost.
  std::function<bool(std::size_t)> DropsDatagram = [](std::size_t) {
    return false;
  };

  void setStoreReachable(std::size_t Index, bool StoreReachable) {
    Daemons[Index].StoreReachable = StoreReachable;
  }

  /// The store accepts a daemon's reads but doesn't respond.
  void setStoreUnresponsive(std::size_t Index, bool Unresponsive) {
    Daemons[Index].StoreUnresponsive = Unresponsive;
  }

  /// The connection that a daemon reuses for the store stops responding.
  void setReusedConnectionSilent(std::size_t Index, bool Silent) {
    Daemons[Index].ReusedConnectionSilent = Silent;
  }

  /// Delays datagrams to a daemon; those in flight still arrive.
  void setDelay(std::size_t Index, milliseconds Delay) {
    Daemons[Index].Delay = Delay;
  }

  /// Suspends a daemon; datagrams to it are lost.
  void setPaused(std::size_t Index, bool Paused) {
    Daemons[Index].Paused = Paused;
  }

  /// A daemon's control thread runs only once in this time; events are queued
  /// until then.
  void setStarved(std::size_t Index, milliseconds Pause) {
    Daemons[Index].TurnInterval = Pause;
    Daemons[Index].NextTurn = Now + Pause;
  }

  /// Maximum number of records that a read of the backend servers returns.
  std::size_t PageRecords = std::numeric_limits<std::size_t>::max();

  bool settledAt(std::size_t Index) const {
    return Daemons[Index].Version && Daemons[Index].Version->MembershipSettled;
  }

  /// Number of calls that all daemons have made to the store.
  std::size_t totalCalls() const {
    return std::transform_reduce(Daemons.begin(), Daemons.end(), std::size_t{0},
                                 std::plus{},
                                 [](const daemon &Each) { return Each.Calls; });
  }

  /// Number of datagrams with deaths of servers that were sent so far.
  std::size_t deathDatagrams() const { return DeathDatagrams; }

  std::size_t membersAt(std::size_t Index) const {
    return Daemons[Index].State.members().size();
  }

protected:
  struct daemon {
    store_control_state State;
    fleet_version_ref Version;
    /// Whether this daemon can reach the store.
    bool StoreReachable = true;
    std::size_t Calls = 0;
    std::optional<read_records> PendingRead;
    steady_time PendingReadSince;
    /// The pending read is on a connection that stopped responding.
    bool Hangs = false;
    bool StoreUnresponsive = false;
    bool ReusedConnectionSilent = false;
    /// Delay of datagrams to this daemon.
    milliseconds Delay{0};
    std::deque<std::pair<steady_time, peer_message>> InFlight;
    /// Calls without a response, and when they time out.
    std::deque<std::pair<store_topic, steady_time>> UnansweredCalls;
    bool Paused = false;
    /// Time between two turns; 0 for a daemon that always runs in time.
    milliseconds TurnInterval{0};
    steady_time NextTurn;
    steady_time LastTurn;
    /// Events that wait for the next turn.
    std::vector<peer_message> QueuedDatagrams;
    std::vector<store_call> QueuedAnswers;
    /// Calls that wait until their connections are established.
    std::vector<store_call> Connecting;
  };

  /// Number of servers with the given state in the version that a daemon has
  /// published.
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
        copyFromPeer(Index, Fetch->From);
      if (auto *Send = std::get_if<send_datagram>(&Action))
        deliver(Index, Send->To, Send->Message);
      if (auto *Send = std::get_if<send_to_members>(&Action)) {
        if (!Send->Message.Deaths.empty()) {
          DeathDatagrams += Send->To.size();
          DeathRecipients.insert(Send->To.begin(), Send->To.end());
        }
        for (const endpoint_text &To : Send->To)
          deliver(Index, To, Send->Message);
      }
      // Nested actions may have published a newer version already.
      if (auto *Publish = std::get_if<publish_version>(&Action))
        if (fleet_version_ref &Known = Daemons[Index].Version;
            !Known || Known->Number < Publish->Version->Number)
          Known = Publish->Version;
    }
    if (std::exchange(ConfigurationChanged, false))
      completePendingReads();
  }

  /// Handles queued events if the daemon's turn is due. Returns whether it
  /// runs.
  bool takeTurn(std::size_t Index) {
    daemon &Daemon = Daemons[Index];
    bool IsStarved = Daemon.TurnInterval.count() > 0;
    if (IsStarved && Now < Daemon.NextTurn)
      return false;
    Daemon.NextTurn = Now + Daemon.TurnInterval;
    for (const peer_message &Message :
         std::exchange(Daemon.QueuedDatagrams, {}))
      receive(Index, Message);
    for (const store_call &Call : std::exchange(Daemon.QueuedAnswers, {}))
      answerNow(Index, Call);
    for (const store_call &Call : std::exchange(Daemon.Connecting, {})) {
      reportSent(Index, Call);
      if (IsStarved)
        Daemon.QueuedAnswers.push_back(Call);
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
    if (Daemon.PendingRead && Daemon.PendingRead->Topic == Topic) {
      Daemon.PendingRead.reset();
      Daemon.Hangs = false;
    }
    std::erase_if(Daemon.UnansweredCalls,
                  [&](const auto &Call) { return Call.first == Topic; });
    std::erase_if(Daemon.QueuedAnswers, Reads);
    std::erase_if(Daemon.Connecting, Reads);
  }

  /// The topic that a call reads, if any.
  static std::optional<store_topic> topicRead(const store_call &Call) {
    if (std::holds_alternative<put_record>(Call))
      return std::nullopt;
    return std::visit([](const auto &Made) { return Made.Topic; }, Call);
  }

  void reportSent(std::size_t Index, const store_call &Call) {
    if (auto Topic = topicRead(Call))
      Daemons[Index].State.onCallSent(*Topic, Now);
  }

  /// Whether a daemon uses the answer to a read of \p Topic, or to a write.
  bool acceptsAnswer(std::size_t Index, std::optional<store_topic> Topic) {
    store_control_actions Actions;
    bool Accepted =
        Daemons[Index].State.acceptHistory(Topic, StoreHistory, Now, Actions);
    perform(Index, Actions);
    return Accepted;
  }

  void reportAnswering(std::size_t Index, store_topic Topic) {
    if (Daemons[Index].StoreReachable)
      Daemons[Index].State.onCallAnswering(Topic, Now);
  }

  void receive(std::size_t Index, const peer_message &Message) {
    store_control_actions Actions;
    Daemons[Index].State.onDatagram(Message, Now, Actions);
    perform(Index, Actions);
  }

  void deliver(std::size_t, const endpoint_text &To,
               const peer_message &Message) {
    auto Found = Indices.find(To);
    if (Found == Indices.end() || Found->second >= Daemons.size() ||
        DropsDatagram(Found->second) || Daemons[Found->second].Paused)
      return;
    if (daemon &Receiver = Daemons[Found->second]; Receiver.Delay.count() > 0)
      Receiver.InFlight.emplace_back(Now + Receiver.Delay, Message);
    else
      arrive(Found->second, Message);
  }

  void arrive(std::size_t Index, const peer_message &Message) {
    if (Daemons[Index].TurnInterval.count() > 0)
      Daemons[Index].QueuedDatagrams.push_back(Message);
    else
      receive(Index, Message);
  }

  /// Delivers datagrams whose delay has elapsed.
  void deliverDelayed(std::size_t Index) {
    auto &InFlight = Daemons[Index].InFlight;
    while (!InFlight.empty() && Now >= InFlight.front().first) {
      peer_message Message = std::move(InFlight.front().second);
      InFlight.pop_front();
      arrive(Index, Message);
    }
  }

  void copyFromPeer(std::size_t Index, const endpoint_text &From) {
    std::optional<fleet_copy> Copy;
    for (std::size_t Giver = 0; Giver < Daemons.size(); ++Giver)
      if (address(Giver) == From && PeersServeCopies)
        Copy = Daemons[Giver].State.copyForPeer(Now);
    store_control_state &State = Daemons[Index].State;
    if (!Copy)
      return State.onCopyFailed(From, Now);
    store_control_actions Actions;
    State.onCopy(From, *Copy, published(Copy->Version), Now, Actions);
    perform(Index, Actions);
  }

  void answer(std::size_t Index, const start_store_call &Start) {
    daemon &Daemon = Daemons[Index];
    const store_call &Call = Start.Call;
    bool Reused = Start.Connection == connection_choice::Reuse;
    bool Silent =
        Daemon.StoreUnresponsive || (Reused && Daemon.ReusedConnectionSilent);
    ++Daemon.Calls;
    if (auto Topic = topicRead(Call); Silent && Topic)
      Daemon.UnansweredCalls.emplace_back(*Topic, Now + 1'000ms);
    else if (Daemon.TurnInterval.count() == 0)
      answerNow(Index, Call);
    else if (Reused)
      Daemon.QueuedAnswers.push_back(Call);
    else
      Daemon.Connecting.push_back(Call);
  }

  void answerNow(std::size_t Index, const store_call &Call) {
    daemon &Daemon = Daemons[Index];
    store_control_actions Actions;
    if (const auto *Put = std::get_if<put_record>(&Call)) {
      if (Daemon.StoreReachable)
        MemberLog.emplace_back(Put->Key, *Put->Value);
      bool Accepted =
          Daemon.StoreReachable && acceptsAnswer(Index, std::nullopt);
      Daemon.State.onPut(Accepted, Now);
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
    reportAnswering(Index, Topic);
    if (!Daemons[Index].StoreReachable)
      return State.onCallFailed(Topic, Now, Actions);
    if (!acceptsAnswer(Index, Topic))
      return;
    keyed_page Page;
    if (Topic == store_topic::Configuration) {
      deliverConfiguration(State);
      Page.EndOffset = ConfigurationEnd;
    }
    if (Topic == store_topic::BackendServers) {
      deliverServers(State, 0, ServerLog.size());
      Page.EndOffset = ServerLog.size();
    }
    if (Topic == store_topic::Members)
      for (const auto &[Id, Peer] : MemberLog)
        State.onMember(Id, Peer);
    State.onPage(Topic, Page, Now, Actions);
  }

  void read(std::size_t Index, const read_records &Read,
            store_control_actions &Actions) {
    daemon &Daemon = Daemons[Index];
    if (!Daemon.StoreReachable)
      return Daemon.State.onCallFailed(Read.Topic, Now, Actions);
    if (!acceptsAnswer(Index, Read.Topic))
      return;
    std::uint64_t End = Read.Topic == store_topic::Configuration
                            ? ConfigurationEnd
                            : ServerLog.size();
    if (Read.FromOffset >= End && Read.MaxWait.count() > 0) {
      Daemon.PendingRead = Read;
      Daemon.PendingReadSince = Now;
      return;
    }
    reportAnswering(Index, Read.Topic);
    keyed_page Page;
    Page.EndOffset = End;
    std::uint64_t Records = End - std::min(End, Read.FromOffset);
    if (Read.Topic == store_topic::BackendServers)
      Records = std::min<std::uint64_t>(Records, PageRecords);
    Page.Records.resize(Records);
    if (Read.Topic == store_topic::Configuration)
      deliverConfiguration(Daemon.State);
    else
      deliverServers(Daemon.State, Read.FromOffset, Records);
    Daemon.State.onPage(Read.Topic, Page, Now, Actions);
  }

  void deliverServers(store_control_state &State, std::uint64_t From,
                      std::uint64_t Records) const {
    for (std::uint64_t Offset = From; Offset < From + Records; ++Offset)
      if (const auto &[Id, Entry] = ServerLog[Offset]; Entry)
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

  void deliverConfiguration(store_control_state &State) const {
    if (ConfigurationVersion > 0)
      State.onConfiguration(published(ConfigurationVersion), "configuration",
                            Now);
  }

  void completePendingReads() {
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
      daemon &Daemon = Daemons[Index];
      if (!Daemon.PendingRead || !Daemon.StoreReachable || Daemon.Hangs ||
          Daemon.PendingRead->FromOffset >= ConfigurationEnd)
        continue;
      read_records Read = *Daemon.PendingRead;
      Daemon.PendingRead.reset();
      store_control_actions Actions;
      read(Index, Read, Actions);
      perform(Index, Actions);
    }
  }

  steady_time Now{1h};
  std::vector<daemon> Daemons;
  std::map<endpoint_text, std::size_t> Indices;
  std::uint64_t StoreHistory = 1;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t ConfigurationEnd = 0;
  /// Long-polling reads of the configuration have to be completed.
  bool ConfigurationChanged = false;
  /// Whether daemons respond to peers that request a copy.
  bool PeersServeCopies = true;
  /// An entry without a value means that the server was removed.
  std::vector<std::pair<std::string, std::optional<server_entry>>> ServerLog;
  std::vector<std::pair<std::string, endpoint_text>> MemberLog;
  /// Datagrams with deaths of servers, and the addresses that they were sent
  /// to.
  std::size_t DeathDatagrams = 0;
  std::set<endpoint_text> DeathRecipients;
};

} // namespace endiverail::test
