#pragma once

#include "daemon/daemon_parts.h"
#include "daemon/route_placement.h"
#include "daemon/store_control_thread.h"
#include "files/store_daemon_settings.h"
#include "http/curl_transport.h"
#include "log/event_line.h"
#include "process/overload_controller.h"
#include "process/traffic_thread.h"
#include "version/caller_addresses.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace endiverail {

/// What a daemon that follows a store needs to know of the world around it:
/// the dialect of callers and backend servers, and the protocol of the store.
template <typename T>
concept store_edge = message_dialect<typename T::dialect> &&
    store_protocol<typename T::protocol> &&
    requires(std::span<const header_field> Fields,
             std::vector<header_field> &Removable, std::string_view Target,
             std::span<const std::string> Addresses, milliseconds Lifetime) {
  { T::dialect::wordsOf(Fields) } -> std::same_as<result<request_metadata>>;
  /// Removes what identifies the caller's organisation.
  {T::dialect::removeIdentity(Removable)};
  { T::dialect::isReadinessCall(Target) } -> std::same_as<bool>;
  {
    T::dialect::addressQuestion(Target)
    } -> std::same_as<std::optional<address_query>>;
  {
    T::dialect::addressAnswer(Addresses, Lifetime)
    } -> std::same_as<std::string>;
};

namespace detail {

inline constexpr request_owner NoTrafficThread = SIZE_MAX;

/// Callers' requests, on the connection threads.
template <store_edge Edge, typename Traffic> class request_dispatch {
public:
  request_dispatch(published<fleet_version> &Versions, Traffic &ToTraffic,
                   answer_route &Answers, overload_controller &Overload,
                   process_metrics &Metrics)
      : Versions(Versions), ToTraffic(ToTraffic), Answers(Answers),
        Overload(Overload), Metrics(Metrics) {}

  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    auto Version = Versions.load();
    std::string RequestName;
    return handleFailure(
        [&]() -> result<request_owner> {
          BOOST_LEAF_AUTO(Words, Edge::dialect::wordsOf(Request.Frame.Fields));
          RequestName = Words.RequestId;
          if (Version->Organisations)
            Edge::dialect::removeIdentity(Request.Frame.Fields);
          request_id Id = NextRequest.fetch_add(1);
          BOOST_LEAF_AUTO(
              Placed, placeByRoute(ResponseHandle, std::move(Request), Words,
                                   *Version, Id + FirstPosition, steadyNow()));
          if (Version->ShutdownSchedule &&
              !Version->ShutdownSchedule->accepts(Placed.Deadline, steadyNow()))
            return fail(error_kind::Draining,
                        "the process may end before the answer");
          if (Overload.refuses(Placed.Kind->Rank)) {
            Metrics.onOverloadRefusal(Placed.Service->Definition.Name);
            return fail(error_kind::Overloaded,
                        "this host can't keep up with its requests");
          }
          Overload.recordAdmitted();
          Placed.Id = Id;
          request_owner Owner =
              ToTraffic.indexOf(Placed.Service->Definition.Name);
          ToTraffic.tell(Owner, run_request{std::move(Placed)});
          return Owner;
        },
        [&](const failure &Failure) {
          if (Failure.Kind == error_kind::UnknownAccessKey)
            recordUnknownAccessKey(RequestName, Version->Number, Failure);
          std::string Body(errorAnswer(Failure.Kind).Name);
          Body.append(": ").append(Failure.Detail).push_back('\n');
          postResponse(Answers, ResponseHandle,
                       Edge::dialect::errorResponseHead(
                           Failure.Kind, pauseAfter(Failure.Kind)),
                       std::move(Body));
          return NoTrafficThread;
        });
  }

  void onWritten(request_owner Owner, const response_handle &ResponseHandle,
                 std::size_t Bytes) {
    ToTraffic.tell(Owner, response_written{ResponseHandle, Bytes});
  }

  void onCallerGone(request_owner Owner,
                    const response_handle &ResponseHandle) {
    ToTraffic.tell(Owner, caller_gone{ResponseHandle});
  }

private:
  void recordUnknownAccessKey(std::string_view RequestName,
                              std::uint64_t VersionNumber,
                              const failure &Failure) {
    Metrics.onUnknownAccessKey();
    event_line("access_key_unknown")
        .with("request", RequestName)
        .with("version", VersionNumber)
        .with("detail", Failure.Detail);
  }

  /// Until a daemon that has just started may know its configuration.
  static constexpr milliseconds RefusedPause{500};
  /// Other daemons can take at once what one that ends can't.
  static constexpr milliseconds DrainingPause{20};
  /// Other daemons may be short of processor time, too.
  static constexpr milliseconds OverloadPause{250};

  static milliseconds pauseAfter(error_kind Kind) {
    switch (Kind) {
    case error_kind::Draining:
      return DrainingPause;
    case error_kind::Overloaded:
      return OverloadPause;
    default:
      return RefusedPause;
    }
  }

  published<fleet_version> &Versions;
  Traffic &ToTraffic;
  answer_route &Answers;
  overload_controller &Overload;
  process_metrics &Metrics;
  std::atomic<request_id> NextRequest = 1;
  /// Daemons begin to share split routes out at different positions.
  std::uint64_t FirstPosition = randomSeed();
};

/// Questions that need only the published version: which addresses to use,
/// whether this daemon is ready, and what its metrics are.
template <store_edge Edge> class question_dispatch {
public:
  question_dispatch(const store_daemon_settings &Settings,
                    published<fleet_version> &Versions,
                    process_metrics &Metrics, const memory_budget &CallerMemory,
                    answer_route &Answers)
      : Settings(Settings), Versions(Versions), Metrics(Metrics),
        CallerMemory(CallerMemory), Answers(Answers) {}

  request_owner onRequest(const response_handle &ResponseHandle,
                          const received_request &Request) {
    std::string_view Target = Request.Frame.Target;
    if (auto Question = Edge::dialect::addressQuestion(Target))
      answerAddresses(ResponseHandle, *Question);
    else if (Edge::dialect::isReadinessCall(Target))
      answerReadiness(ResponseHandle);
    else if (Target == "/metrics")
      answerMetrics(ResponseHandle);
    else
      refuse(ResponseHandle, error_kind::UnknownRoute);
    return NoTrafficThread;
  }

  void onWritten(request_owner, const response_handle &, std::size_t) {}
  void onCallerGone(request_owner, const response_handle &) {}

private:
  void answerText(const response_handle &ResponseHandle, std::string_view Type,
                  std::string Text) {
    response_head Head;
    Head.Headers.push_back({"Content-Type", std::string(Type)});
    postResponse(Answers, ResponseHandle, std::move(Head), std::move(Text));
  }

  void answerMetrics(const response_handle &ResponseHandle) {
    Metrics.setGauge("caller_memory_bytes",
                     static_cast<double>(CallerMemory.held()));
    Metrics.setGauge("caller_memory_peak_bytes",
                     static_cast<double>(CallerMemory.peak()));
    answerText(ResponseHandle, "text/plain; version=0.0.4", Metrics.text());
  }

  void refuse(const response_handle &ResponseHandle, error_kind Kind) {
    postErrorResponse(Answers, ResponseHandle, Kind, "");
  }

  void answerAddresses(const response_handle &ResponseHandle,
                       const address_query &Question) {
    auto Version = Versions.load();
    auto Addresses =
        callerAddresses(*Version, Question.DataCentre, Nonces.fetch_add(1));
    if (Addresses.empty())
      return refuse(ResponseHandle, error_kind::NotReady);
    milliseconds Lifetime =
        Version->MembershipSettled
            ? Settings.AddressLifetime
            : std::min(Settings.AddressLifetime, FirstLifetime);
    answerText(ResponseHandle, "application/json",
               Edge::dialect::addressAnswer(Addresses, Lifetime));
  }

  void answerReadiness(const response_handle &ResponseHandle) {
    auto Version = Versions.load();
    if (!Version->Ready)
      return refuse(ResponseHandle, error_kind::NotReady);
    if (Version->Draining)
      return refuse(ResponseHandle, error_kind::Draining);
    answerText(ResponseHandle, "text/plain", "ready\n");
  }

  /// Of answers that may name the wrong hosts, as few are known yet: about the
  /// time in which the others are met.
  static constexpr milliseconds FirstLifetime{250};

  const store_daemon_settings &Settings;
  published<fleet_version> &Versions;
  process_metrics &Metrics;
  const memory_budget &CallerMemory;
  answer_route &Answers;
  std::atomic<std::uint64_t> Nonces = randomSeed();
};

/// Peers' questions for a copy, which the control thread answers.
class peer_dispatch {
public:
  explicit peer_dispatch(answer_route &Answers) : Answers(Answers) {}

  void open(std::function<void(copy_question)> ToControl) {
    Ask = std::move(ToControl);
  }

  request_owner onRequest(const response_handle &ResponseHandle,
                          const received_request &Request) {
    if (Request.Frame.Target == CopyPath)
      Ask(copy_question{ResponseHandle});
    else
      postErrorResponse(Answers, ResponseHandle, error_kind::UnknownRoute, "");
    return NoTrafficThread;
  }

  void onWritten(request_owner, const response_handle &, std::size_t) {}
  void onCallerGone(request_owner, const response_handle &) {}

private:
  answer_route &Answers;
  std::function<void(copy_question)> Ask;
};

} // namespace detail

/// What has come of changed settings.
struct settings_change {
  /// Some of them are in force.
  bool Applied = false;
  /// Some of them come into force at the next start only.
  bool NeedsStart = false;

  bool operator==(const settings_change &) const = default;
};

/// A whole daemon that takes its configuration and backend servers from a
/// store. It lives as long as the process.
template <store_edge Edge> class store_daemon {
public:
  /// Binds the addresses and starts the threads. Fails with BadSettings or
  /// Internal.
  static result<std::unique_ptr<store_daemon>>
  create(const store_daemon_settings &Settings) {
    std::unique_ptr<store_daemon> Created(new store_daemon(Settings));
    BOOST_LEAF_CHECK(Created->start());
    return Created;
  }

  store_daemon(const store_daemon &) = delete;
  store_daemon &operator=(const store_daemon &) = delete;

  /// Whoever wants requests answered drains first.
  ~store_daemon() {
    Traffic.stop();
    if (Control)
      Control->post(end_store_control{});
    if (ControlThread.joinable())
      ControlThread.join();
    RequestDoor.shutdown();
    ReadyDoor.shutdown();
    DirectoryDoor.shutdown();
    MetricsDoor.shutdown();
    PeerDoor.shutdown();
  }

  /// Takes changed settings over while requests run: what the fleet may retry
  /// and the time for a graceful end. Addresses, limits of memory and what the
  /// host carries hold until the next start.
  settings_change reload(const store_daemon_settings &Changed) {
    settings_change Result;
    if (Changed.Retries != Settings.Retries) {
      Traffic.tellAll(retries_changed{Changed.Retries});
      Result.Applied = true;
    }
    Result.Applied |= Changed.DrainTime != Settings.DrainTime;
    Settings.Retries = Changed.Retries;
    Settings.DrainTime = Changed.DrainTime;
    Result.NeedsStart = Changed != Settings;
    return Result;
  }

  /// Ends gracefully: tells peers and callers, serves on while callers may
  /// still hold this address, then takes only what is answered before the end.
  /// What was taken before and still runs at the end is answered as not known.
  void drain() {
    event_line("draining").with("connections", RequestDoor.connections());
    steady_time AnswersUntil = steadyNow() + Settings.DrainTime - LastWrites;
    Control->post(begin_store_drain{
        {steadyNow() + std::min(LongestLifetimes * Settings.AddressLifetime,
                                (Settings.DrainTime - LastWrites) * 3 / 5),
         AnswersUntil}});
    RequestDoor.announceClose();
    std::promise<void> Never;
    Never.get_future().wait_for(Settings.DrainTime - LastRequests);
    if (RequestDoor.closeWhenIdle(LastRequests - LastWrites))
      return;
    Traffic.answerRemaining();
    if (!RequestDoor.closeWhenIdle(LastWrites))
      event_line("drain_time_over", event_level::Warning)
          .with("connections", RequestDoor.connections());
  }

private:
  using traffic_of_store =
      traffic_thread<curl_transport, answer_route, notice_route, machine_time,
                     pool_scheduler, typename Edge::dialect>;
  using traffic_list = traffic_threads<traffic_of_store>;
  using control = store_control_thread<curl_transport, typename Edge::protocol,
                                       traffic_list, answer_route>;
  using requests = detail::request_dispatch<Edge, traffic_list>;
  using questions = detail::question_dispatch<Edge>;

  /// The end of the drain time in which no connection is kept open.
  static constexpr milliseconds LastRequests{1'000};
  /// The end of that in which the last answers are written.
  static constexpr milliseconds LastWrites{200};
  /// Some callers keep an answer with addresses for three times its lifetime.
  static constexpr int LongestLifetimes = 3;

  explicit store_daemon(const store_daemon_settings &From)
      : Settings(From), Self(selfOf(From)), Versions(firstVersion()),
        CallerMemory(Settings.BodyMemoryBytes),
        OwnMemory(Settings.MostBodyBytes),
        Requests(Versions, Traffic, RequestAnswers, Overload, Metrics),
        ReadyQuestions(Settings, Versions, Metrics, CallerMemory, ReadyAnswers),
        DirectoryQuestions(Settings, Versions, Metrics, CallerMemory,
                           DirectoryAnswers),
        MetricsQuestions(Settings, Versions, Metrics, CallerMemory,
                         MetricsAnswers),
        PeerQuestions(PeerAnswers) {}

  static proxy_member selfOf(const store_daemon_settings &Settings) {
    // Hosts keep nothing, so the time of the start tells incarnations apart.
    auto Incarnation =
        static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    return {
        Settings.Id, Settings.DataCentre,    Settings.PeerAddress, Incarnation,
        true,        Settings.CallerAddress, Settings.Capacity};
  }

  fleet_version_ref firstVersion() const {
    auto Version = std::make_shared<fleet_version>();
    Version->SelfId = Self.Id;
    Version->SelfIncarnation = Self.Incarnation;
    return Version;
  }

  result<void> start() {
    BOOST_LEAF_CHECK(makeTraffic());
    BOOST_LEAF_CHECK(makeControl());
    BOOST_LEAF_CHECK(openDoor(RequestDoor, Settings.CallerAddress, Requests,
                              RequestAnswers, CallerMemory));
    BOOST_LEAF_CHECK(openDoor(ReadyDoor, Settings.ReadyAddress, ReadyQuestions,
                              ReadyAnswers, OwnMemory));
    BOOST_LEAF_CHECK(openDoor(DirectoryDoor, Settings.DirectoryAddress,
                              DirectoryQuestions, DirectoryAnswers, OwnMemory));
    if (!Settings.MetricsAddress.empty())
      BOOST_LEAF_CHECK(openDoor(MetricsDoor, Settings.MetricsAddress,
                                MetricsQuestions, MetricsAnswers, OwnMemory));
    BOOST_LEAF_CHECK(openDoor(PeerDoor, Settings.PeerAddress, PeerQuestions,
                              PeerAnswers, OwnMemory));
    Traffic.start();
    ControlThread = std::jthread([this] { Control->run(); });
    return {};
  }

  result<void> makeTraffic() {
    BOOST_LEAF_AUTO(Poller, poller::create());
    BOOST_LEAF_AUTO(Event, event_descriptor::create());
    traffic_settings Traffics;
    Traffics.FleetSecret = Settings.FleetSecret;
    Traffics.Seed = randomSeed();
    Traffics.DataCentre = Settings.DataCentre;
    Traffics.Retries = Settings.Retries;
    Traffics.Quotas = Settings.Quotas;
    Traffics.Placement = Settings.Placement;
    Traffics.SamplesServers = Settings.SamplesServers;
    Traffics.MaxBufferedBytes = Settings.MostBufferedBytes;
    Traffics.Versions = &Versions;
    Traffics.ServersUsableUntil = &ServersUsableUntil;
    Traffics.Overload = &Overload;
    Traffics.CallerMemory = &CallerMemory;
    Traffic.add(std::make_unique<traffic_of_store>(
        std::move(Poller), std::move(Event), std::move(Traffics),
        RequestAnswers, Notices, Metrics));
    return {};
  }

  result<void> makeControl() {
    BOOST_LEAF_AUTO(Poller, poller::create());
    BOOST_LEAF_AUTO(Event, event_descriptor::create());
    BOOST_LEAF_AUTO(Socket, datagram_socket::create(Settings.PeerAddress));
    store_control_settings Controls;
    Controls.Self = Self;
    Controls.Seeds = Settings.Seeds;
    Controls.RegistrationInterval = Settings.RegistrationInterval;
    Controls.Quotas = Settings.Quotas;
    Controls.Seed = randomSeed();
    Control = std::make_unique<control>(
        std::move(Poller), std::move(Event), std::move(Socket), Settings.Store,
        Settings.FleetSecret, store_control_state(std::move(Controls)), Metrics,
        Versions, ServersUsableUntil, Traffic, PeerAnswers);
    PeerQuestions.open([this](copy_question Question) {
      Control->post(store_control_message(Question));
    });
    Control->setLimitsObserver([this](const request_limits &Limits) {
      RequestDoor.setLimits(Limits);
    });
    Notices.open([this](control_notice Notice) {
      Control->post(store_control_message(std::move(Notice)));
    });
    return {};
  }

  template <typename Dispatch>
  result<void> openDoor(front_door<Dispatch> &Door,
                        const endpoint_text &Address, Dispatch &To,
                        answer_route &Answers, memory_budget &Memory) {
    front_end_settings Doors;
    std::tie(Doors.Address, Doors.Port) = splitEndpoint(Address);
    Doors.Limits.BodyBytes = Settings.MostBodyBytes;
    Doors.Limits.AcceptsChunked = true;
    Doors.LimitsUnreadAnswers = &Memory == &CallerMemory;
    Answers.open(
        [&Door](response_message Message) { Door.post(std::move(Message)); });
    return Door.open(Doors, To, Memory);
  }

  store_daemon_settings Settings;
  proxy_member Self;
  process_metrics Metrics;
  published<fleet_version> Versions;
  /// Until when requests may be sent to backend servers by what is published.
  std::atomic<steady_time> ServersUsableUntil;
  overload_controller Overload;
  /// For requests and the answers to them.
  memory_budget CallerMemory;
  /// For all other doors, so that callers do not take their room.
  memory_budget OwnMemory;
  answer_route RequestAnswers;
  answer_route ReadyAnswers;
  answer_route DirectoryAnswers;
  answer_route MetricsAnswers;
  answer_route PeerAnswers;
  notice_route Notices;
  traffic_list Traffic;
  std::unique_ptr<control> Control;
  requests Requests;
  questions ReadyQuestions;
  questions DirectoryQuestions;
  questions MetricsQuestions;
  detail::peer_dispatch PeerQuestions;
  front_door<requests> RequestDoor;
  front_door<questions> ReadyDoor;
  front_door<questions> DirectoryDoor;
  front_door<questions> MetricsDoor;
  front_door<detail::peer_dispatch> PeerDoor;
  std::jthread ControlThread;
};

} // namespace endiverail
