#include "daemon/proxy_daemon.h"

#include "daemon/control_thread.h"
#include "daemon/daemon_parts.h"
#include "daemon/request_placement.h"
#include "http/curl_transport.h"
#include "http/front_end.h"
#include "process/traffic_thread.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace endiverail {
namespace {

constexpr milliseconds HandOverTimeout{5'000};

using traffic = traffic_thread<curl_transport, answer_route, notice_route>;

using proxy_traffic = traffic_threads<traffic>;
using control = control_thread<curl_transport, answer_route, proxy_traffic>;

/// Runs on the connection threads: answers what needs only the published
/// version, and hands the rest to the thread that owns it.
class caller_dispatch {
public:
  caller_dispatch(const daemon_settings &Settings,
                  published<fleet_version> &Versions, proxy_traffic &Traffic,
                  control &Control, answer_route &Answers)
      : Settings(Settings), Versions(Versions), Traffic(Traffic),
        Control(Control), Answers(Answers) {}

  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    std::string_view Target = Request.Frame.Target;
    if (Target.starts_with("/endiverail/addresses"))
      answerAddresses(ResponseHandle, Target);
    else if (Target == "/endiverail/health")
      answerHealth(ResponseHandle);
    else if (Target.starts_with(FleetPathPrefix))
      Control.post(control_call{ResponseHandle, std::move(Request.Frame.Method),
                                std::move(Request.Frame.Target),
                                std::move(Request.Body)});
    else
      return run(ResponseHandle, std::move(Request));
    return NoTrafficThread;
  }

  void onWritten(request_owner Owner, const response_handle &ResponseHandle,
                 std::size_t Bytes) {
    Traffic.tell(Owner, response_written{ResponseHandle, Bytes});
  }

  void onCallerGone(request_owner Owner,
                    const response_handle &ResponseHandle) {
    Traffic.tell(Owner, caller_gone{ResponseHandle});
  }

private:
  static constexpr request_owner NoTrafficThread = SIZE_MAX;

  static response_head unknownHead(error_kind Kind) {
    response_head Head = errorResponseHead(Kind);
    Head.Outcome = outcome::Unknown;
    return Head;
  }

  request_owner run(const response_handle &ResponseHandle,
                    received_request Request) {
    bool Keyed = !findHeader(Request.Frame.Fields, "Endiverail-Key").empty();
    return handleFailure(
        [&]() -> result<request_owner> {
          auto Version = Versions.load();
          BOOST_LEAF_AUTO(
              Placed, placeRequest(ResponseHandle, std::move(Request), *Version,
                                   Settings.FleetSecret, steadyNow()));
          Placed.Id = NextRequest.fetch_add(1);
          request_owner Owner =
              Traffic.indexOf(Placed.Service->Definition.Name);
          Traffic.tell(Owner, run_request{std::move(Placed)});
          return Owner;
        },
        [&](const failure &Failure) {
          // Another proxy may have run a request with this key.
          if (Keyed)
            postResponse(Answers, ResponseHandle, unknownHead(Failure.Kind),
                         Failure.Detail + "\n");
          else
            postErrorResponse(Answers, ResponseHandle, Failure.Kind,
                              Failure.Detail);
          return NoTrafficThread;
        });
  }

  void answerAddresses(const response_handle &ResponseHandle,
                       std::string_view Target) {
    constexpr std::string_view Query = "?service=";
    std::size_t At = Target.find(Query);
    auto Version = Versions.load();
    std::string_view Service =
        At == std::string_view::npos ? "" : Target.substr(At + Query.size());
    if (!Version->Ready)
      return postErrorResponse(Answers, ResponseHandle, error_kind::NotReady,
                               "");
    if (!Version->Configuration.find(Service))
      return postErrorResponse(Answers, ResponseHandle,
                               error_kind::UnknownService, Service);
    std::uint64_t Nonce = Nonces.fetch_add(1) ^ NonceSalt;
    response_head Head;
    Head.Headers.push_back({"Content-Type", "application/json"});
    postResponse(Answers, ResponseHandle, std::move(Head),
                 addressAnswer(Service,
                               chooseAddresses(*Version, Service, Nonce),
                               Settings.AddressLifetime, machine_time::wall(),
                               std::to_string(Nonce), Settings.FleetSecret));
  }

  void answerHealth(const response_handle &ResponseHandle) {
    auto Version = Versions.load();
    if (!Version->Ready)
      return postErrorResponse(Answers, ResponseHandle, error_kind::NotReady,
                               "");
    if (Version->Draining)
      return postErrorResponse(Answers, ResponseHandle, error_kind::Draining,
                               "");
    postResponse(Answers, ResponseHandle, response_head{}, "ready\n");
  }

  const daemon_settings &Settings;
  published<fleet_version> &Versions;
  proxy_traffic &Traffic;
  control &Control;
  answer_route &Answers;
  std::atomic<request_id> NextRequest = 1;
  std::atomic<std::uint64_t> Nonces = 0;
  std::uint64_t NonceSalt = std::random_device{}() * 0x100000000ULL;
};

proxy_member selfOf(const daemon_settings &Settings) {
  // Hosts keep nothing, so the time of the start tells incarnations apart.
  auto Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  return {Settings.Id, Settings.DataCentre, Settings.Address, Incarnation,
          true};
}

fleet_version_ref firstVersion(const proxy_member &Self) {
  auto Version = std::make_shared<fleet_version>();
  Version->SelfId = Self.Id;
  Version->SelfIncarnation = Self.Incarnation;
  return Version;
}

} // namespace

/// In the order in which they are made; they end in the reverse order.
struct proxy_daemon::parts {
  explicit parts(const daemon_settings &From)
      : Settings(From), Self(selfOf(Settings)), Events(Settings.TimeLineEvents),
        Versions(firstVersion(Self)), Memory(Settings.BodyMemoryBytes) {}

  result<void> start();
  /// Passes the keys to another proxy, once no request runs any more.
  void handOverKeys();

  daemon_settings Settings;
  proxy_member Self;
  timeline Events;
  process_metrics Metrics;
  published<fleet_version> Versions;
  memory_budget Memory;
  answer_route Answers;
  notice_route Notices;
  proxy_traffic Traffic;
  std::unique_ptr<control> Control;
  std::unique_ptr<caller_dispatch> Dispatch;
  front_door<caller_dispatch> Door;
  std::jthread ControlThread;
};

result<void> proxy_daemon::parts::start() {
  for (std::size_t Index = 0; Index < Settings.TrafficThreads; ++Index) {
    BOOST_LEAF_AUTO(Poller, poller::create());
    BOOST_LEAF_AUTO(Event, event_descriptor::create());
    traffic_settings Traffics{
        Settings.FleetSecret,
        {Settings.KeyMemoryBytes / Settings.TrafficThreads, Settings.KeyLife},
        randomSeed()};
    Traffic.add(std::make_unique<traffic>(std::move(Poller), std::move(Event),
                                          std::move(Traffics), Answers, Notices,
                                          Metrics));
  }
  BOOST_LEAF_AUTO(Poller, poller::create());
  BOOST_LEAF_AUTO(Event, event_descriptor::create());
  BOOST_LEAF_AUTO(Socket, datagram_socket::create(Settings.Address));
  control_settings Controls;
  Controls.Self = Self;
  Controls.CustomerKeys = Settings.CustomerKeys;
  Controls.Seeds = Settings.Seeds;
  Controls.KeyLifetime = 2 * Settings.KeyLife;
  Controls.Seed = randomSeed();
  BOOST_LEAF_AUTO(State, control_state::create(Controls, Events));
  Control = std::make_unique<control>(
      std::move(Poller), std::move(Event), std::move(Socket), Settings,
      std::move(State), Events, Metrics, Versions, Answers, Traffic);
  Notices.open([this](control_notice Notice) {
    Control->post(control_message(std::move(Notice)));
  });
  Dispatch = std::make_unique<caller_dispatch>(Settings, Versions, Traffic,
                                               *Control, Answers);
  front_end_settings Doors;
  std::tie(Doors.Address, Doors.Port) = splitEndpoint(Settings.Address);
  Doors.Workers = Settings.ConnectionThreads;
  Doors.Limits.BodyBytes = Settings.MostBodyBytes;
  Doors.ReceiveTimeout = Settings.ReceiveTimeout;
  Answers.open(
      [this](response_message Message) { Door.post(std::move(Message)); });
  BOOST_LEAF_CHECK(Door.open(Doors, *Dispatch, Memory));
  Traffic.start();
  ControlThread = std::jthread([this] { Control->run(); });
  Events.record(event_kind::Started, "", Self.Id, Self.Address);
  return {};
}

void proxy_daemon::parts::handOverKeys() {
  auto Ended = std::make_shared<std::promise<void>>();
  auto Waiting = Ended->get_future();
  Control->post(
      hand_over_keys{Traffic.rememberedKeys(steadyNow()), std::move(Ended)});
  if (Waiting.wait_for(HandOverTimeout) != std::future_status::ready)
    spdlog::warn("daemon: no other proxy has taken the keys");
}

result<std::unique_ptr<proxy_daemon>>
proxy_daemon::create(const daemon_settings &Settings) {
  auto Parts = std::make_unique<parts>(Settings);
  BOOST_LEAF_CHECK(Parts->start());
  return std::unique_ptr<proxy_daemon>(new proxy_daemon(std::move(Parts)));
}

proxy_daemon::proxy_daemon(std::unique_ptr<parts> Parts)
    : Parts(std::move(Parts)) {}

proxy_daemon::~proxy_daemon() {
  Parts->Traffic.finish();
  Parts->Control->post(end_control{});
  Parts->ControlThread.join();
  Parts->Door.shutdown();
}

void proxy_daemon::drain() {
  Parts->Control->post(begin_drain{});
  Parts->Door.announceClose();
  // Callers may hold an answer with this address for its whole lifetime.
  std::promise<void> Never;
  Never.get_future().wait_for(
      std::min(Parts->Settings.AddressLifetime, Parts->Settings.DrainTimeout));
  if (!Parts->Door.closeWhenIdle(Parts->Settings.DrainTimeout))
    spdlog::warn("daemon: {} connections are open after the drain timeout",
                 Parts->Door.connections());
  Parts->Traffic.finish();
  Parts->handOverKeys();
}

} // namespace endiverail
