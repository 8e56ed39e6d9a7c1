#pragma once

#include "process/outcome_table.h"
#include "process/quarantine.h"
#include "process/retry_budget.h"
#include "process/service_scheduler.h"
#include "process/work_report.h"
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
/// Bytes of an answer have left.
struct answer_written {
  response_handle ResponseHandle;
  std::size_t Bytes = 0;
};
/// The caller of a request has gone.
struct caller_gone {
  response_handle ResponseHandle;
};
/// Another version is in force.
struct version_changed {
  fleet_version_ref Version;
  /// When it was handed over; unset where nobody looks at the delay.
  std::optional<steady_time> Published{};
};
/// What is known of the backend servers may be used again, after a time in
/// which nothing had confirmed it.
struct servers_confirmed {};
/// The fleet has decided to eject a backend server or to take it back.
struct ejection_changed {
  std::string Service;
  endpoint_text Server;
  /// Until when the right to eject is proven; nothing takes it back.
  std::optional<steady_time> Until;
};
/// A backend server died while a request with that fingerprint ran on it.
struct server_death {
  std::string Service;
  request_fingerprint Fingerprint = 0;
  endpoint_text Server;

  auto operator<=>(const server_death &) const = default;
};
/// Keys of a service that this process holds from now on.
struct inherited_keys {
  std::string Service;
  std::vector<remembered_key> Keys;
};
/// What another proxy's work with a service shows.
struct peer_work {
  std::string ProxyId;
  work_report Report;
};
/// The operator has changed what the fleet may retry.
struct retries_changed {
  retry_allowance Retries;
};
/// No time is left: what still runs is answered now, by what is known of it.
struct answer_remaining {};
/// The thread ends once its requests are answered, or at once.
struct finish_traffic {
  bool AtOnce = false;
};

/// What a traffic thread is told.
using traffic_message =
    std::variant<run_request, answer_written, caller_gone, version_changed,
                 servers_confirmed, ejection_changed, server_death,
                 inherited_keys, peer_work, retries_changed, answer_remaining,
                 finish_traffic>;

/// An owner has evidence for, or against, a backend server.
struct ejection_wish {
  std::string Service;
  endpoint_text Server;
  bool Eject = true;
};
/// A backend server has said that it leaves.
struct server_leaving {
  std::string Service;
  endpoint_text Server;

  auto operator<=>(const server_leaving &) const = default;
};
/// A backend server fails from here, yet other proxies find it well.
struct path_fault_found {
  std::string Service;
  endpoint_text Server;
};
/// How the backend servers that this process hands out stand, for people.
struct standing_report {
  std::string Service;
  std::size_t Waiting = 0;
  std::vector<server_status> Servers;
};

/// What a traffic thread tells the control thread.
using control_notice =
    std::variant<ejection_wish, server_leaving, server_death, path_fault_found,
                 standing_report, work_report>;

/// Where notices of traffic threads go.
template <typename T>
concept control_link = requires(T Link, control_notice Notice) {
  {Link.notify(std::move(Notice))};
};

} // namespace endiverail
