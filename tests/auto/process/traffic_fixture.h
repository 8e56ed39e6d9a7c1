#pragma once

#include "base/text.h"
#include "failure_check.h"
#include "fake_transport.h"
#include "process/idempotency_key.h"
#include "process/pool_scheduler.h"
#include "process/traffic_thread.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace endiverail::test {

/// A traffic thread with one service. The test controls the time.
template <request_scheduler Policy, message_dialect Dialect = fleet_dialect>
class basic_traffic_fixture {
public:
  using traffic_under_test =
      traffic_thread<fake_transport, response_collector, notice_collector,
                     manual_clock, Policy, Dialect>;

  static constexpr std::string_view Secret = "a secret of the fleet";

  explicit basic_traffic_fixture(std::size_t ServerCount = 3) {
    Traffic = makeTraffic();
    auto Service = std::make_shared<accepted_service>();
    Service->Definition = definition(ServerCount);
    this->Service = Service;
    publish("self", ServerCount);
  }

  /// A traffic thread to which no version has been published yet.
  std::unique_ptr<traffic_under_test> makeTraffic() {
    return std::make_unique<traffic_under_test>(
        valueOf(poller::create()), valueOf(event_descriptor::create()),
        settings(&Versions, &ServersUsableUntil), Responses, Notices, Metrics,
        manual_clock{&Now});
  }

  static traffic_settings
  settings(const published<fleet_version> *Versions,
           const std::atomic<steady_time> *ServersUsableUntil) {
    traffic_settings Settings{
        std::string(Secret), {1'000'000, std::chrono::seconds(60)}, 5};
    Settings.Versions = Versions;
    Settings.ServersUsableUntil = ServersUsableUntil;
    return Settings;
  }

  static service_definition definition(std::size_t ServerCount) {
    using namespace std::chrono_literals;
    service_definition Definition;
    Definition.Name = Definition.Pool = "s";
    Definition.PoolSize = ServerCount;
    auto Kind = [](std::string Name, std::string Method, bool Idempotent) {
      return work_kind{std::move(Name),
                       std::move(Method),
                       valueOf(path_pattern::create("/s/**")),
                       rank::Urgent,
                       Idempotent,
                       200ms,
                       2000ms,
                       false};
    };
    Definition.Kinds = {Kind("read", "GET", true),
                        Kind("write", "POST", false)};
    return Definition;
  }

  /// Publishes a version in which \p Owner owns all backend servers.
  void publish(const std::string &Owner, std::size_t ServerCount) {
    auto Version = std::make_shared<fleet_version>();
    Version->Number = ++VersionNumber;
    Version->Ready = true;
    Version->SelfId = "self";
    Version->SelfIncarnation = 7;
    Version->Organisations = Organisations;
    Version->KeySuccessors = key_successors::build(KeySuccessors);
    std::vector<accepted_service_ref> Services = OtherServices;
    Services.push_back(Service);
    Version->Configuration = configuration::build(Services);
    Version->View.Proxies = {{"other", "dc2", "other:1", 8, true},
                             {"self", "dc1", "self:1", 7, true}};
    service_owner ServiceOwner{Owner, Owner + ":1", "dc", {}};
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      backend_server Server{std::string(1, static_cast<char>('a' + Index)), "s",
                            "dc", server_state::Live};
      Version->View.Servers.push_back(Server);
      ServiceOwner.Servers.push_back(Server);
    }
    Version->Owners["s"] = {ServiceOwner};
    Versions.store(Version);
    deliver(version_changed{std::move(Version)});
  }

  /// Publishes a version in which a server leaves without sending the traffic
  /// thread the message.
  void publishLeaving(std::string_view Server) {
    auto Version = std::make_shared<fleet_version>(*Versions.load());
    for (backend_server &Each : Version->View.Servers)
      if (Each.Address == Server)
        Each.State = server_state::Leaving;
    Versions.store(std::move(Version));
  }

  /// Lets the list of backend servers expire or confirms it.
  void setConfirmed(bool Confirmed) {
    using namespace std::chrono_literals;
    ServersUsableUntil = Confirmed ? Now + 1h : Now;
    if (Confirmed)
      deliver(servers_confirmed{});
  }

  /// Sends a caller's request and returns its connection.
  std::uint64_t send(std::string Method, std::string Target,
                     std::string Key = "", bool Forwarded = false) {
    using namespace std::chrono_literals;
    caller_request Request;
    Request.Id = ++LastRequest;
    Request.ResponseHandle = {0, Request.Id, 1};
    Request.Method = std::move(Method);
    Request.Target = std::move(Target);
    Request.Service = Service;
    Request.Kind = Service->Definition.findKind(Request.Method, Request.path());
    Request.Key = std::move(Key);
    Request.Forwarded = Forwarded;
    if (!AccessKey.empty())
      Request.AccessKeyHash = hashAccessKey(AccessKey);
    Request.Organisation = Organisation;
    Request.Public = Public;
    Request.Arrival.At = Request.ReadAt = Now;
    Request.Deadline = Now + 2000ms;
    std::uint64_t Connection = Request.ResponseHandle.Connection;
    deliver(run_request{std::move(Request)});
    return Connection;
  }

  void deliver(traffic_message Message) {
    Traffic->post(std::move(Message));
    Traffic->readInbox(Now);
  }

  /// Advances the time in steps of 10 ms.
  void advance(milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += milliseconds(10)) {
      Now += milliseconds(10);
      Traffic->onWake(Now);
    }
  }

  static std::string key(std::string_view Proxy = "self",
                         std::uint64_t Incarnation = 7,
                         std::string_view Number = "1") {
    return idempotency_key::issuePrefix({std::string(Proxy), Incarnation},
                                        Issued, "nonce", Secret) +
           "~" + std::string(Number);
  }

  auto &transport() { return Traffic->transport(); }
  auto &attempts() { return transport().Attempts; }
  const collected_response &response(std::uint64_t Connection) {
    return Responses.Responses[Connection];
  }
  outcome outcomeOf(std::uint64_t Connection) {
    return response(Connection).Head.value().Outcome;
  }

  static constexpr wall_time Issued{std::chrono::hours(1)};
  steady_time Now{std::chrono::hours(1)};
  response_collector Responses;
  notice_collector Notices;
  process_metrics Metrics;
  published<fleet_version> Versions{std::make_shared<fleet_version>()};
  std::atomic<steady_time> ServersUsableUntil{Now + std::chrono::hours(1)};
  accepted_service_ref Service;
  std::unique_ptr<traffic_under_test> Traffic;
  request_id LastRequest = 0;
  std::uint64_t VersionNumber = 0;
  /// Included in all versions published later.
  std::vector<key_successor> KeySuccessors;
  std::vector<accepted_service_ref> OtherServices;
  /// Set in all versions published later.
  organisation_table_ref Organisations;
  /// Of the requests sent later.
  std::string AccessKey;
  std::string Organisation;
  bool Public = false;
};

using traffic_fixture = basic_traffic_fixture<service_scheduler>;
/// A fixture whose service shares its backend servers with other daemons.
using shared_traffic_fixture = basic_traffic_fixture<pool_scheduler>;

/// A dialect with requests for a pause and times for a retry in milliseconds.
struct pausing_dialect : fleet_dialect {
  static response_classification classify(const backend_response_head &Head,
                                          std::string_view Identifier,
                                          bool MayRetry) {
    auto Classification = fleet_dialect::classify(Head, Identifier, MayRetry);
    if (auto Pause = parseDecimal(findHeader(Head.Headers, "Test-Pause")))
      Classification.Pause = milliseconds(*Pause);
    return Classification;
  }
  static response_head errorResponseHead(error_kind Kind, milliseconds Pause) {
    response_head Head = fleet_dialect::errorResponseHead(Kind, Pause);
    Head.Headers.push_back({"Test-Retry", std::to_string(Pause.count())});
    return Head;
  }
};
using pausing_traffic_fixture =
    basic_traffic_fixture<pool_scheduler, pausing_dialect>;

} // namespace endiverail::test
