#pragma once

#include "process/outcome_table.h"
#include "process/quarantine.h"
#include "process/retry_budget.h"
#include "process/service_scheduler.h"
#include "process/work_report.h"
#include "quota/quota_messages.h"
#include "request/caller_request.h"
#include "version/fleet_version.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiverail {

/// A caller's request to run.
struct run_request {
  caller_request Request;
};
/// Bytes of a response have been written to the caller's connection.
struct response_written {
  response_handle ResponseHandle;
  std::size_t Bytes = 0;
};
/// The caller has closed the connection of a request.
struct caller_gone {
  response_handle ResponseHandle;
};
/// A new version has taken effect.
struct version_changed {
  fleet_version_ref Version;
  /// Time of publication; unset if the delay is not monitored.
  std::optional<steady_time> Published{};
};
/// The list of backend servers is confirmed again and may be used after it had
/// expired.
struct servers_confirmed {};
/// The fleet has ejected a backend server or readmitted it.
struct ejection_changed {
  std::string Service;
  endpoint_text Server;
  /// Time until which the ejection is authorized; unset to readmit the server.
  std::optional<steady_time> Until;
};
/// A backend server terminated while running a request with this fingerprint.
struct server_death {
  std::string Service;
  request_fingerprint Fingerprint = 0;
  endpoint_text Server;

  auto operator<=>(const server_death &) const = default;
};
/// Finished keys of a service that this process takes over as successor.
struct inherited_keys {
  std::string Service;
  std::vector<remembered_key> Keys;
};
/// Another proxy's work report for a service.
struct peer_work {
  std::string ProxyId;
  work_report Report;
};
/// How much of the requests of some organisations may pass.
struct quota_shares {
  std::vector<quota_share> Shares;
};
/// The operator has changed the retry limits of the fleet.
struct retries_changed {
  retry_allowance Retries;
};
/// The shutdown deadline has passed: all remaining requests are answered now.
struct terminate_requests {};
/// Ends the thread once its requests are answered, or immediately.
struct finish_traffic {
  bool Immediate = false;
};

/// Message to a traffic thread.
using traffic_message =
    std::variant<run_request, response_written, caller_gone, version_changed,
                 servers_confirmed, ejection_changed, server_death,
                 inherited_keys, peer_work, quota_shares, retries_changed,
                 terminate_requests, finish_traffic>;

/// The owner of a backend server asks to eject or to readmit it.
struct ejection_request {
  std::string Service;
  endpoint_text Server;
  bool Eject = true;
};
/// A backend server has announced that it is leaving.
struct server_leaving {
  std::string Service;
  endpoint_text Server;

  auto operator<=>(const server_leaving &) const = default;
};
/// A backend server fails for this proxy but works for others.
struct path_fault_notice {
  std::string Service;
  endpoint_text Server;
};
/// Status of a service's backend servers and queue, for operators.
struct service_status_report {
  std::string Service;
  std::size_t Waiting = 0;
  std::vector<server_status> Servers;
};

/// Notice from a traffic thread to the control thread.
using control_notice =
    std::variant<ejection_request, server_leaving, server_death,
                 path_fault_notice, service_status_report, work_reports,
                 quota_report>;

/// Receives the notices of traffic threads.
template <typename T>
concept control_link = requires(T Link, control_notice Notice) {
  {Link.notify(std::move(Notice))};
};

} // namespace endiverail
