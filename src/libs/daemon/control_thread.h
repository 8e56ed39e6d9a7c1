#pragma once

#include "connection/response_message.h"
#include "daemon/operator_answers.h"
#include "daemon/outgoing_calls.h"
#include "files/daemon_settings.h"
#include "files/host_list_codec.h"
#include "files/log_codec.h"
#include "files/record_codec.h"
#include "peer/datagram_socket.h"
#include "peer/peer_codec.h"
#include "process/control_state.h"
#include "process/event_loop.h"
#include "process/mailbox.h"
#include "process/metrics.h"
#include "process/published.h"

#include <spdlog/spdlog.h>

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace endiverail {

/// A request under the fleet's own paths that the control thread answers.
struct control_call {
  response_handle ResponseHandle;
  std::string Method;
  std::string Target;
  std::string Body;
};
/// Callers are to be told of this proxy no more.
struct begin_drain {};
/// The keys of this process are to pass to another proxy.
struct hand_over_keys {
  std::vector<remembered_key> Keys;
  /// Fulfilled when they have passed, or can't.
  std::shared_ptr<std::promise<void>> Ended;
};
/// The thread says good-bye to the peers and ends.
struct end_control {};

using control_message = std::variant<control_notice, control_call, begin_drain,
                                     hand_over_keys, end_control>;

/// What takes the control thread's decisions to the traffic threads.
template <typename T>
concept traffic_link = requires(T Link, traffic_message Message,
                                fleet_version_ref Version) {
  {Link.tellAll(Message)};
  {Link.tellOwner(std::string_view{}, std::move(Message))};
};

/// The one thread that owns control state. It feeds what comes in to the
/// decisions and carries out what they return. What carries its HTTP requests,
/// what takes answers and what leads to the traffic threads vary by template.
template <template <typename> typename TransportOf, response_sink Sink,
          traffic_link Traffic>
class control_thread {
public:
  control_thread(poller Poller, event_descriptor Event, datagram_socket Socket,
                 const daemon_settings &Settings, control_state State,
                 timeline &Events, process_metrics &Metrics,
                 published<fleet_version> &Versions, Sink &To,
                 Traffic &ToTraffic)
      : Poller(std::move(Poller)), Inbox(std::move(Event)),
        Socket(std::move(Socket)), Settings(Settings), State(std::move(State)),
        Events(Events), Metrics(Metrics), Versions(Versions), To(To),
        ToTraffic(ToTraffic), Codec(Settings.FleetSecret),
        Calls(this->Poller, *this, MostAnswerBytes) {
    this->Poller.watch(Inbox.descriptor(), true, false);
    this->Poller.watch(this->Socket.descriptor(), true, false);
  }

  /// Hands over a message. Safe on any thread.
  void post(control_message Message) { Inbox.post(std::move(Message)); }

  /// Runs on the calling thread until an end_control message.
  void run() { runEventLoop(Poller, *this); }

  void onReady(const ready_descriptor &Ready, steady_time Now) {
    if (Ready.Descriptor == Socket.descriptor())
      readDatagrams(Now);
    else if (Ready.Descriptor == Inbox.descriptor())
      readInbox(Now);
    else
      Calls.onReady(Ready);
  }

  void onWake(steady_time Now) {
    Calls.onWake(Now);
    control_actions Actions;
    State.tick(Now, Actions);
    perform(Actions);
  }

  std::optional<steady_time> nextWake() const {
    auto Network = Calls.nextWake();
    return Network ? std::min(*Network, State.nextWake()) : State.nextWake();
  }

  bool finished() const { return Finished; }

  /// A call has ended.
  template <typename Purpose>
  void onCallEnded(const ended_call<Purpose> &Call) {
    control_actions Actions;
    std::visit([&](const auto &For) { finishCall(For, Call, Actions); },
               Call.For);
    perform(Actions);
  }

private:
  struct log_read {};
  struct hosts_read {};
  struct log_append {};
  struct peer_pull {
    endpoint_text Peer;
  };
  struct keys_part {};
  using call_purpose =
      std::variant<log_read, hosts_read, log_append, peer_pull, keys_part>;
  using finished_call = ended_call<call_purpose>;

  static constexpr milliseconds CallTimeout{2'000};
  static constexpr std::size_t MostDatagramsAtOnce = 256;
  /// The largest reply of a peer that the codec takes.
  static constexpr std::size_t MostAnswerBytes = std::size_t{64} * 1024 * 1024;
  static constexpr std::string_view PullTarget = "/endiverail/peer/pull";
  static constexpr std::string_view KeysTarget = "/endiverail/peer/keys";

  // What comes in.

  void readDatagrams(steady_time Now) {
    for (std::size_t Count = 0; Count < MostDatagramsAtOnce; ++Count) {
      auto Bytes = Socket.receive();
      if (!Bytes)
        return;
      handleFailure(
          [&]() -> result<void> {
            BOOST_LEAF_AUTO(Message, Codec.decodeMessage(*Bytes));
            control_actions Actions;
            State.onDatagram(Message, Now, Actions);
            perform(Actions);
            return {};
          },
          [&](const failure &Failure) {
            spdlog::debug("peer: dropped a datagram: {}", Failure.Detail);
          });
    }
  }

  void readInbox(steady_time Now) {
    auto Batch = Inbox.takeAll();
    for (control_message &Message : Batch.Messages)
      std::visit([&](auto &Part) { take(Part, Now); }, Message);
  }

  void take(const control_notice &Notice, steady_time Now) {
    control_actions Actions;
    State.onNotice(Notice, Now, Actions);
    perform(Actions);
  }

  void take(const begin_drain &, steady_time Now) {
    control_actions Actions;
    State.drain(Now, Actions);
    perform(Actions);
  }

  void take(hand_over_keys &HandOver, steady_time) {
    HandOverEnded = std::move(HandOver.Ended);
    control_actions Actions;
    State.handOver(std::move(HandOver.Keys), Actions);
    perform(Actions);
    tellHandOverEnded();
  }

  void tellHandOverEnded() {
    if (HandOverEnded && State.handOverEnded())
      std::exchange(HandOverEnded, nullptr)->set_value();
  }

  void take(const end_control &, steady_time Now) {
    control_actions Actions;
    State.leave(Now, Actions);
    perform(Actions);
    Finished = true;
  }

  void take(const control_call &Call, steady_time) {
    std::string_view Path =
        std::string_view(Call.Target).substr(0, Call.Target.find('?'));
    if (Call.Method == "POST" && Path == PullTarget)
      return answerPull(Call);
    if (Call.Method == "POST" && Path == KeysTarget)
      return takeKeys(Call);
    if (Call.Method != "GET")
      return postErrorResponse(To, Call.ResponseHandle,
                               error_kind::MethodNotSupported, Path);
    if (Path == "/endiverail/status")
      return answerText(Call, "application/json", statusAnswer(State));
    if (Path == "/endiverail/metrics")
      return answerText(Call, "text/plain; version=0.0.4", metricsText());
    if (Path == "/endiverail/timeline")
      return answerText(Call, "application/json",
                        timeLineAnswer(Settings.Id, Events.since({})));
    postErrorResponse(To, Call.ResponseHandle, error_kind::UnknownRoute, Path);
  }

  void answerText(const control_call &Call, std::string_view Type,
                  std::string Text) {
    response_head Head;
    Head.Headers.push_back({"Content-Type", std::string(Type)});
    postResponse(To, Call.ResponseHandle, std::move(Head), std::move(Text));
  }

  std::string metricsText() {
    Metrics.setGauge("members", static_cast<double>(State.membership().size()));
    Metrics.setGauge("ready", State.ready() ? 1 : 0);
    Metrics.setGauge("store_away", State.storeAway() ? 1 : 0);
    Metrics.setGauge("services_in_force",
                     static_cast<double>(State.records().inForce().size()));
    Metrics.setGauge("control_bytes_sent_total",
                     static_cast<double>(BytesSent));
    Metrics.setGauge("control_bytes_received_total",
                     static_cast<double>(BytesReceived));
    return Metrics.text();
  }

  void answerPull(const control_call &Call) {
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Request, Codec.decodeRequest(Call.Body));
          std::string Reply = Codec.encode(State.answerPull(Request));
          BytesReceived += Call.Body.size();
          BytesSent += Reply.size();
          answerText(Call, "application/octet-stream", std::move(Reply));
          return {};
        },
        [&](const failure &Failure) {
          postErrorResponse(To, Call.ResponseHandle, Failure.Kind,
                            Failure.Detail);
        });
  }

  void takeKeys(const control_call &Call) {
    BytesReceived += Call.Body.size();
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Part, Codec.decodeHandOver(Call.Body));
          control_actions Actions;
          BOOST_LEAF_CHECK(State.onKeyHandOver(Part, steadyNow(), Actions));
          perform(Actions);
          answerText(Call, "text/plain", "taken\n");
          return {};
        },
        [&](const failure &Failure) {
          postErrorResponse(To, Call.ResponseHandle, Failure.Kind,
                            Failure.Detail);
        });
  }

  // What is to be done.

  void perform(control_actions &Actions) {
    for (control_action &Action : Actions)
      std::visit([&](auto &Part) { act(Part); }, Action);
  }

  void act(const send_datagram &Send) {
    std::string Bytes = Codec.encode(Send.Message);
    BytesSent += Bytes.size();
    Socket.send(Send.To, Bytes);
  }

  void act(const pull_from &Pull) {
    call(peer_pull{Pull.Peer}, Pull.Peer, "POST", PullTarget,
         Codec.encode(Pull.Request));
  }

  void act(const deliver_keys &Deliver) {
    call(keys_part{}, Deliver.To, "POST", KeysTarget,
         Codec.encode(Deliver.Part));
  }

  void act(const read_log &Read) {
    call(log_read{}, Settings.LogService, "GET", logReadTarget(Read.From), "");
  }

  void act(const read_hosts &) {
    call(hosts_read{}, Settings.HostList, "GET", HostsTarget, "");
  }

  void act(const append_log &Append) {
    call(log_append{}, Settings.LogService, "POST", AppendTarget,
         encodeRecord(Append.Record));
  }

  void act(const notify_traffic &Tell) {
    std::visit(
        [&](const auto &Message) {
          ToTraffic.tellOwner(Message.Service, traffic_message(Message));
        },
        Tell.Message);
  }

  void act(const publish_version &Publish) {
    Versions.store(Publish.Version);
    ToTraffic.tellAll(version_changed{Publish.Version});
  }

  void call(call_purpose For, const endpoint_text &Server,
            std::string_view Method, std::string_view Target,
            std::string Body) {
    BytesSent += Body.size();
    // Nothing here may run twice by the library's own resending but reads.
    Calls.start(std::move(For), Server, Method, Target, std::move(Body),
                Method == "GET" ? connection_choice::Reuse
                                : connection_choice::Fresh,
                CallTimeout);
  }

  void finishCall(const log_read &, const finished_call &Call,
                  control_actions &Actions) {
    BytesReceived += Call.Answer.size();
    finishRead(
        Call.succeeded(), [&] { return decodeLogPage(Call.Answer); },
        [&](const log_page &Page) {
          State.onLogPage(Page, steadyNow(), Actions);
        },
        [&] { State.onLogFailure(steadyNow(), Actions); });
  }

  void finishCall(const hosts_read &, const finished_call &Call,
                  control_actions &Actions) {
    BytesReceived += Call.Answer.size();
    finishRead(
        Call.succeeded(), [&] { return decodeHostList(Call.Answer); },
        [&](const decoded_host_list &Decoded) {
          for (const std::string &Reason : Decoded.Skipped)
            spdlog::warn("hosts: skipped an entry: {}", Reason);
          State.onHosts(Decoded.Hosts, steadyNow(), Actions);
        },
        [&] { State.onHostsFailure(steadyNow()); });
  }

  void finishCall(const peer_pull &Pull, const finished_call &Call,
                  control_actions &Actions) {
    BytesReceived += Call.Answer.size();
    finishRead(
        Call.succeeded(), [&] { return Codec.decodeReply(Call.Answer); },
        [&](const pull_reply &Reply) {
          State.onPullReply(Pull.Peer, Reply, steadyNow(), Actions);
        },
        [&] { State.onPullFailure(Pull.Peer, steadyNow()); });
  }

  void finishCall(const log_append &, const finished_call &Call,
                  control_actions &) {
    State.onAppended(Call.succeeded(), steadyNow());
  }

  void finishCall(const keys_part &, const finished_call &Call,
                  control_actions &Actions) {
    key_delivery Delivery = key_delivery::Unknown;
    if (Call.succeeded())
      Delivery = key_delivery::Accepted;
    else if (Call.ProvenNotRun)
      Delivery = key_delivery::NotDelivered;
    State.onKeysDelivered(Delivery, Actions);
    tellHandOverEnded();
  }

  template <typename Decode, typename Use, typename OnFailure>
  void finishRead(bool Succeeded, Decode &&DecodeAnswer, Use &&UseResult,
                  OnFailure &&Failed) {
    if (!Succeeded)
      return Failed();
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Decoded, DecodeAnswer());
          UseResult(Decoded);
          return {};
        },
        [&](const failure &Failure) {
          spdlog::warn("control: an answer makes no sense: {}", Failure.Detail);
          Failed();
        });
  }

  poller Poller;
  mailbox<control_message> Inbox;
  datagram_socket Socket;
  const daemon_settings &Settings;
  control_state State;
  timeline &Events;
  process_metrics &Metrics;
  published<fleet_version> &Versions;
  Sink &To;
  Traffic &ToTraffic;
  peer_codec Codec;
  outgoing_calls<TransportOf, call_purpose, control_thread> Calls;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::shared_ptr<std::promise<void>> HandOverEnded;
  bool Finished = false;
};

} // namespace endiverail
