#pragma once

#include "base/text.h"
#include "connection/response_message.h"
#include "daemon/outgoing_calls.h"
#include "log/event_line.h"
#include "peer/datagram_socket.h"
#include "peer/peer_codec.h"
#include "process/control_lag.h"
#include "process/event_loop.h"
#include "process/mailbox.h"
#include "process/metrics.h"
#include "process/peer_traffic.h"
#include "process/published.h"
#include "process/store_control_state.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace endiverail {

/// Callers are to be told of this daemon no more.
struct begin_store_drain {
  shutdown_schedule End;
};
/// The thread says good-bye to the peers and ends.
struct end_store_control {};

/// A peer asks for a copy of what this daemon knows.
struct copy_question {
  response_handle ResponseHandle;
};

using store_control_message =
    std::variant<control_notice, copy_question, begin_store_drain,
                 end_store_control>;

/// Where peers ask for a copy.
inline constexpr std::string_view CopyPath = "/fleet/copy";

/// The one thread that owns the control state of a daemon that follows a
/// store. It feeds what comes in to the decisions and carries out what they
/// return. What carries its calls, how they are encoded and what leads to the
/// traffic threads vary by template.
template <template <typename> typename TransportOf, store_protocol Protocol,
          typename Traffic, response_sink Sink>
class store_control_thread {
public:
  store_control_thread(poller Poller, event_descriptor Event,
                       datagram_socket Socket, endpoint_text Store,
                       std::string FleetSecret, store_control_state State,
                       process_metrics &Metrics,
                       published<fleet_version> &Versions,
                       std::atomic<steady_time> &ServersUsableUntil,
                       Traffic &ToTraffic, Sink &ToPeers)
      : Poller(std::move(Poller)), Inbox(std::move(Event)),
        Socket(std::move(Socket)), Store(std::move(Store)),
        State(std::move(State)), Metrics(Metrics), Versions(Versions),
        ServersUsableUntil(ServersUsableUntil), ToTraffic(ToTraffic),
        ToPeers(ToPeers), Codec(std::move(FleetSecret)),
        Calls(this->Poller, *this, MostAnswerBytes) {
    this->Poller.watch(Inbox.descriptor(), true, false);
    this->Poller.watch(this->Socket.descriptor(), true, false);
  }

  /// Called on this thread with each new limits of callers' requests.
  void setLimitsObserver(std::function<void(const request_limits &)> Observer) {
    OnLimits = std::move(Observer);
  }

  /// Hands over a message. Safe on any thread.
  void post(store_control_message Message) { Inbox.post(std::move(Message)); }

  /// Runs on the calling thread until an end_store_control message.
  void run() { runEventLoop(Poller, *this); }

  void onReady(const ready_descriptor &Ready, steady_time Now) {
    if (Ready.Descriptor == Socket.descriptor())
      readDatagrams();
    else if (Ready.Descriptor == Inbox.descriptor())
      readInbox(Now);
    else
      Calls.onReady(Ready);
  }

  void onWake(steady_time Now) {
    Calls.onWake(Now);
    if (auto Ended = Lag.report(Now))
      reportLag(*Ended, Now);
    // What became due since the last turn, by a change of roles, is not late.
    steady_time Due = std::max(State.nextWake(), std::exchange(LastTurn, Now));
    if (Now < Due)
      return;
    Lag.recordWake(Due, Now);
    State.recordDelay(std::chrono::duration_cast<milliseconds>(Now - Due), Now);
    store_control_actions Actions;
    State.tick(Now, Actions);
    perform(Actions);
  }

  std::optional<steady_time> nextWake() const {
    auto Network = Calls.nextWake();
    return Network ? std::min(*Network, State.nextWake()) : State.nextWake();
  }

  bool finished() const { return Finished; }

  /// A call has left, or its answer begins.
  template <typename Purpose> void onCallSent(const Purpose &For) {
    if (auto Topic = topicRead(For))
      State.onCallSent(*Topic, steadyNow());
  }
  template <typename Purpose> void onCallAnswering(const Purpose &For) {
    if (const auto *Fetch = std::get_if<fetch_copy>(&For))
      State.onCopyAnswering(Fetch->From);
    if (auto Topic = topicRead(For))
      State.onCallAnswering(*Topic, steadyNow());
  }

  /// A call has ended.
  template <typename Purpose>
  void onCallEnded(const ended_call<Purpose> &Call) {
    BytesReceived += Call.Answer.size();
    store_control_actions Actions;
    std::visit([&](const auto &Made) { finish(Made, Call, Actions); },
               Call.For);
    perform(Actions);
  }

private:
  using call_purpose =
      std::variant<list_newest, read_records, put_record, fetch_copy>;
  using finished_call = ended_call<call_purpose>;

  /// A call that waits for nothing has its whole answer within this time, or
  /// its connection is given up. Reads that get no answer at all are given up
  /// sooner, by the control state.
  static constexpr milliseconds CallTimeout{1'000};
  static constexpr std::size_t MostDatagramsAtOnce = 256;
  /// A page of the store has a megabyte at most; a peer's copy, a record of
  /// the configuration and all servers.
  static constexpr std::size_t MostAnswerBytes = std::size_t{8} * 1024 * 1024;

  static std::optional<store_topic> topicRead(const call_purpose &For) {
    if (const auto *List = std::get_if<list_newest>(&For))
      return List->Topic;
    if (const auto *Read = std::get_if<read_records>(&For))
      return Read->Topic;
    return std::nullopt;
  }

  void readDatagrams() {
    store_control_actions Actions;
    std::size_t Count = 0;
    for (; Count < MostDatagramsAtOnce; ++Count) {
      auto Bytes = Socket.receive();
      if (!Bytes)
        break;
      BytesReceived += Bytes->size();
      handleFailure(
          [&]() -> result<void> {
            BOOST_LEAF_AUTO(Message, Codec.decodeMessage(*Bytes));
            PeerTraffic.recordReceived(purposeOf(Message), Bytes->size());
            if (Message.ReadsStore)
              Lag.recordDatagramAge(
                  milliseconds(wallNow().time_since_epoch().count() -
                               Message.Time.WallMilliseconds));
            // An answer's stamp has to be later than what it answers, which
            // may have come while earlier datagrams were taken.
            State.onDatagram(Message, steadyNow(), Actions);
            return {};
          },
          [&](const failure &Failure) {
            event_line("datagram_dropped", event_level::Warning)
                .with("detail", Failure.Detail);
          });
    }
    Lag.recordDatagrams(Count, Count == MostDatagramsAtOnce);
    perform(Actions);
  }

  void reportLag(const control_lag::period &Ended, steady_time Now) {
    if (auto Age = State.serversAge(Now))
      Metrics.setGauge("servers_age_milliseconds",
                       static_cast<double>(Age->count()));
    Metrics.setGauge("control_late_milliseconds",
                     static_cast<double>(Ended.Late.count()));
    Metrics.setGauge("oldest_datagram_milliseconds",
                     static_cast<double>(Ended.OldestDatagram.count()));
    for (const auto &[Source, Count] : State.serverChangeCounts())
      Metrics.setServerChanges(Source, Count);
    Metrics.setGauge("organisations_counted",
                     static_cast<double>(State.quotaLedger().size()));
    Metrics.setGauge("organisations_restricted",
                     static_cast<double>(State.quotaLedger().restricted()));
    Metrics.setPeerTraffic(PeerTraffic);
    PeerTraffic.log(Now);
  }

  void readInbox(steady_time Now) {
    store_control_actions Actions;
    auto Batch = Inbox.takeAll();
    for (store_control_message &Message : Batch.Messages)
      std::visit([&](auto &Part) { take(Part, Now, Actions); }, Message);
    perform(Actions);
  }

  void take(const control_notice &Notice, steady_time Now,
            store_control_actions &Actions) {
    State.onNotice(Notice, Now, Actions);
  }

  void take(const copy_question &Question, steady_time Now,
            store_control_actions &) {
    auto Copy = State.copyForPeer(Now);
    if (!Copy)
      return postErrorResponse(ToPeers, Question.ResponseHandle,
                               error_kind::NotReady, "");
    std::string Bytes = Codec.encode(*Copy);
    BytesSent += Bytes.size();
    postResponse(ToPeers, Question.ResponseHandle, response_head{},
                 std::move(Bytes));
  }

  void take(const begin_store_drain &Drain, steady_time Now,
            store_control_actions &Actions) {
    State.drain(Drain.End, Now, Actions);
  }

  void take(const end_store_control &, steady_time Now,
            store_control_actions &Actions) {
    State.leave(Now, Actions);
    Finished = true;
  }

  void perform(store_control_actions &Actions) {
    for (store_control_action &Action : Actions)
      std::visit([&](auto &Part) { act(Part); }, Action);
    moveUseOn(steadyNow());
  }

  /// Requests may be sent by what was published for that long. Comes after the
  /// version that it is of.
  void moveUseOn(steady_time Now) {
    steady_time Until = State.serversUsableUntil();
    steady_time Before = ServersUsableUntil.exchange(Until);
    if (Before >= Now || Until <= Now || Before == steady_time{})
      return;
    auto Held = std::chrono::ceil<milliseconds>(Now - Before);
    UseHeld += Held;
    event_line("servers_unconfirmed", event_level::Warning)
        .with("held_ms", Held.count());
    Metrics.setGauge("servers_unconfirmed_milliseconds_total",
                     static_cast<double>(UseHeld.count()));
    ToTraffic.tellAll(servers_confirmed{});
  }

  void act(const send_datagram &Send) {
    std::string Bytes = Codec.encode(Send.Message);
    BytesSent += Bytes.size();
    PeerTraffic.recordSent(purposeOf(Send.Message), 1, Bytes.size());
    Socket.send(Send.To, Bytes);
  }

  void act(send_to_members &Send) {
    // For the receivers' log only, as clocks differ.
    Send.Message.Time.WallMilliseconds = wallNow().time_since_epoch().count();
    std::string Bytes = Codec.encode(Send.Message);
    BytesSent += Bytes.size() * Send.To.size();
    PeerTraffic.recordSent(purposeOf(Send.Message), Send.To.size(),
                           Bytes.size());
    for (const endpoint_text &To : Send.To)
      Socket.send(To, Bytes);
  }

  void act(notify_traffic_threads &Tell) {
    if (auto *Work = std::get_if<peer_work>(&Tell.Message))
      ToTraffic.tellOwner(std::string(Work->Report.Service),
                          std::move(Tell.Message));
    else
      ToTraffic.tellAll(Tell.Message);
  }

  void act(const publish_version &Publish) {
    Versions.store(Publish.Version);
    if (Publish.Version->Limits && Limits != Publish.Version->Limits) {
      Limits = Publish.Version->Limits;
      OnLimits(*Limits);
    }
    ToTraffic.tellAll(version_changed{Publish.Version, steadyNow()});
    Metrics.setGauge("members",
                     static_cast<double>(Publish.Version->View.Proxies.size()));
    Metrics.setGauge("backend_servers",
                     static_cast<double>(Publish.Version->View.Servers.size()));
    Metrics.setGauge("ready", Publish.Version->Ready ? 1 : 0);
    Metrics.setGauge("configuration_version",
                     static_cast<double>(State.version()));
    Metrics.setGauge("configuration_delay_milliseconds",
                     static_cast<double>(State.configurationDelay().count()));
    Metrics.setGauge("store_away", State.storeAway() ? 1 : 0);
    Metrics.setGauge("control_bytes_sent_total",
                     static_cast<double>(BytesSent));
    Metrics.setGauge("control_bytes_received_total",
                     static_cast<double>(BytesReceived));
    Metrics.setGauge("store_calls_total", static_cast<double>(StoreCalls));
  }

  /// Calls may be sent again by the library on their own: a write sets a key
  /// to the same value each time.
  void act(start_store_call &Start) {
    ++StoreCalls;
    encoded_call Encoded = Protocol::encode(Start.Call);
    const auto *Read = std::get_if<read_records>(&Start.Call);
    milliseconds Timeout =
        CallTimeout + (Read ? Read->MaxWait : milliseconds(0));
    std::visit(
        [&](auto &Made) {
          Calls.start(std::move(Made), Store, Encoded.Method, Encoded.Target,
                      std::move(Encoded.Body), Start.Connection, Timeout);
        },
        Start.Call);
  }

  /// A copy is rarely requested, and a kept connection may have been lost
  /// without notice since the last time.
  void act(const fetch_copy &Fetch) {
    Calls.start(Fetch, Fetch.From, "GET", CopyPath, "",
                connection_choice::Single, CallTimeout);
  }

  void act(const abandon_store_calls &Abandon) {
    Calls.cancelIf([&](const call_purpose &Made) {
      const auto *List = std::get_if<list_newest>(&Made);
      const auto *Read = std::get_if<read_records>(&Made);
      return (List && List->Topic == Abandon.Topic) ||
             (Read && Read->Topic == Abandon.Topic);
    });
  }

  // What the store has answered.

  /// Whether an answer is from the history of the store that is followed.
  bool isCurrent(std::optional<store_topic> Topic, const finished_call &Call,
                 store_control_actions &Actions) {
    auto History = Protocol::historyOf(Call.Headers);
    return !History ||
           State.acceptHistory(Topic, *History, steadyNow(), Actions);
  }

  void finish(const put_record &, const finished_call &Call,
              store_control_actions &Actions) {
    bool Current = isCurrent(std::nullopt, Call, Actions);
    State.onPut(Current && Call.succeeded(), steadyNow());
  }

  void finish(const fetch_copy &Fetch, const finished_call &Call,
              store_control_actions &Actions) {
    steady_time Now = steadyNow();
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_CHECK(checkAnswered(Call));
          BOOST_LEAF_AUTO(Copy, Codec.decodeCopy(Call.Answer));
          BOOST_LEAF_AUTO(Decoded,
                          Protocol::decodeConfiguration(Copy.Configuration));
          State.onCopy(Fetch.From, Copy, std::move(Decoded), Now, Actions);
          return {};
        },
        [&](const failure &Failure) {
          event_line("copy_failed", event_level::Warning)
              .with("peer", Fetch.From)
              .with("kept_connection", Call.Connection.reused())
              .with("waited_ms",
                    std::chrono::duration_cast<milliseconds>(Now - Call.Started)
                        .count())
              .with("detail", Failure.Detail);
          Metrics.setGauge("copies_failed_total",
                           static_cast<double>(++CopiesFailed));
          State.onCopyFailed(Fetch.From, Now);
        });
  }

  static result<void> checkAnswered(const finished_call &Call) {
    if (Call.succeeded())
      return {};
    return fail(error_kind::StoreUnavailable,
                Call.Status == 0 ? "no answer"
                                 : "status " + std::to_string(Call.Status));
  }

  void finish(const list_newest &List, const finished_call &Call,
              store_control_actions &Actions) {
    if (isCurrent(List.Topic, Call, Actions))
      finishRead(List.Topic, Call, Protocol::decodeNewest, Actions);
  }

  void finish(const read_records &Read, const finished_call &Call,
              store_control_actions &Actions) {
    if (!isCurrent(Read.Topic, Call, Actions))
      return;
    if (Protocol::meansRecordsDeleted(Call.Status))
      return State.onRecordsDeleted(Read.Topic, steadyNow());
    finishRead(Read.Topic, Call, Protocol::decodeRecords, Actions);
  }

  template <typename Decode>
  void finishRead(store_topic Topic, const finished_call &Call,
                  Decode &&DecodePage, store_control_actions &Actions) {
    steady_time Now = steadyNow();
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_CHECK(checkAnswered(Call));
          BOOST_LEAF_AUTO(Page, DecodePage(Call.Answer));
          for (const keyed_record &Record : Page.Records)
            takeRecord(Topic, Record, Now);
          State.onPage(Topic, Page, Now, Actions);
          return {};
        },
        [&](const failure &Failure) {
          event_line("store_read_failed", event_level::Warning)
              .with("topic", topicName(Topic))
              .with("detail", Failure.Detail);
          State.onCallFailed(Topic, Now, Actions);
        });
  }

  /// Hands a record's content to the control state. One that makes no sense is
  /// skipped; it may come from another writer.
  void takeRecord(store_topic Topic, const keyed_record &Record,
                  steady_time Now) {
    handleFailure(
        [&]() -> result<void> {
          switch (Topic) {
          case store_topic::Configuration:
            return takeConfiguration(Record, Now);
          case store_topic::BackendServers:
            return takeServer(Record, Now);
          case store_topic::Members:
            return takeMember(Record);
          }
          return {};
        },
        [&](const failure &Failure) {
          if (Topic == store_topic::BackendServers)
            State.onServerUnreadable(Record.Key);
          event_line("record_skipped", event_level::Warning)
              .with("topic", topicName(Topic))
              .with("detail", Failure.Detail);
        });
  }

  result<void> takeConfiguration(const keyed_record &Record, steady_time Now) {
    if (Record.Key != Protocol::configurationKey() || !Record.Value)
      return {};
    BOOST_LEAF_AUTO(Decoded, Protocol::decodeConfiguration(*Record.Value));
    State.onConfiguration(std::move(Decoded), *Record.Value, Now);
    return {};
  }

  result<void> takeServer(const keyed_record &Record, steady_time Now) {
    if (!Record.Value) {
      State.onServerRemoved(Record.Key, Now);
      return {};
    }
    BOOST_LEAF_AUTO(Entry,
                    Protocol::decodeServer(Record.Key, *Record.Value, Now));
    State.onServer(Record.Key, Entry, Now);
    return {};
  }

  result<void> takeMember(const keyed_record &Record) {
    if (!Record.Value)
      return {};
    if (!isEndpoint(*Record.Value))
      return fail(error_kind::BadRecord, "no peer's address");
    State.onMember(Record.Key, *Record.Value);
    return {};
  }

  poller Poller;
  mailbox<store_control_message> Inbox;
  datagram_socket Socket;
  endpoint_text Store;
  store_control_state State;
  process_metrics &Metrics;
  published<fleet_version> &Versions;
  /// Until when requests may be sent by the version that is published.
  std::atomic<steady_time> &ServersUsableUntil;
  Traffic &ToTraffic;
  Sink &ToPeers;
  peer_codec Codec;
  outgoing_calls<TransportOf, call_purpose, store_control_thread> Calls;
  control_lag Lag;
  peer_traffic PeerTraffic;
  steady_time LastTurn = steadyNow();
  std::uint64_t StoreCalls = 0;
  std::uint64_t CopiesFailed = 0;
  /// How long requests were held back, as nothing confirmed what is known.
  milliseconds UseHeld{0};
  std::optional<request_limits> Limits;
  std::function<void(const request_limits &)> OnLimits;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  bool Finished = false;
};

} // namespace endiverail
