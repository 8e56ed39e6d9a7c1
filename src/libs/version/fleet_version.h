#pragma once

#include "version/configuration.h"
#include "version/fleet_view.h"
#include "version/key_successors.h"
#include "version/organisation_table.h"
#include "version/ownership.h"
#include "version/request_limits.h"
#include "version/route_table.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Which requests a process still accepts during a graceful shutdown.
struct shutdown_schedule {
  /// Until this time, callers may still hold addresses of this process, so it
  /// accepts all requests.
  steady_time AcceptsAllUntil;
  /// Afterwards, it accepts only requests whose deadline is not later than
  /// this, so that they are certain to be answered.
  steady_time ResponseCutoff;

  bool accepts(steady_time Deadline, steady_time Now) const {
    return Now < AcceptsAllUntil || Deadline <= ResponseCutoff;
  }
};

/// An immutable snapshot of everything that traffic threads need to know about
/// the fleet. The control thread builds it and publishes it through a shared
/// pointer.
struct fleet_version {
  std::uint64_t Number = 0;
  /// False until the configuration and the backend servers are known.
  bool Ready = false;
  bool Draining = false;
  /// Set together with Draining if the time of the shutdown is known.
  std::optional<shutdown_schedule> ShutdownSchedule;
  /// False shortly after the start of this process, while it may not know all
  /// other members yet.
  bool MembershipSettled = false;
  std::string SelfId;
  std::uint64_t SelfIncarnation = 0;
  configuration Configuration;
  /// Set if requests are routed by host and path prefix.
  route_table_ref Routes;
  /// Set if requests need an access key of an organisation.
  organisation_table_ref Organisations;
  /// Set if the configuration limits the requests of callers.
  std::optional<request_limits> Limits;
  fleet_view View;
  /// Number of entry daemons in all data centres.
  std::size_t EntryCount = 0;
  /// Index of this daemon among the entry daemons; EntryCount if it is not one.
  std::size_t EntryIndex = 0;
  /// Which proxies hold the keys of proxies that have shut down gracefully.
  key_successors KeySuccessors;
  /// Indexed by service name.
  std::map<std::string, service_owners, std::less<>> Owners;

  /// Returns the owners of \p Service; empty if there are none.
  const service_owners &ownersOf(std::string_view Service) const {
    static const service_owners None;
    auto Found = Owners.find(Service);
    return Found == Owners.end() ? None : Found->second;
  }

  /// Returns the backend servers of \p Service that this process owns.
  std::span<const backend_server> ownServers(std::string_view Service) const {
    const service_owners &All = ownersOf(Service);
    auto Self = std::ranges::find(All, SelfId, &service_owner::ProxyId);
    if (Self == All.end())
      return {};
    return Self->Servers;
  }
};

using fleet_version_ref = std::shared_ptr<const fleet_version>;

} // namespace endiverail
