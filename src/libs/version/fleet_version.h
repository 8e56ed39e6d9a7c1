#pragma once

#include "version/configuration.h"
#include "version/fleet_view.h"
#include "version/key_successors.h"
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

/// What a process that has been asked to end still takes.
struct shutdown_schedule {
  /// Callers hold addresses that name this process until then: it takes what
  /// they send.
  steady_time AcceptsAllUntil;
  /// Later on it takes only what is answered by then, whatever happens.
  steady_time ResponseCutoff;

  bool accepts(steady_time Deadline, steady_time Now) const {
    return Now < AcceptsAllUntil || Deadline <= ResponseCutoff;
  }
};

/// Everything that traffic threads need to know of the fleet at one time. The
/// control thread builds it and publishes it as one shared pointer; nobody
/// changes it afterwards.
struct fleet_version {
  std::uint64_t Number = 0;
  /// False until configuration and backend servers are known.
  bool Ready = false;
  bool Draining = false;
  /// Set with Draining where the time of the end is known.
  std::optional<shutdown_schedule> ShutdownSchedule;
  /// False while this process has just started and may know few of the others.
  bool MembersSettled = false;
  std::string SelfId;
  std::uint64_t SelfIncarnation = 0;
  configuration Configuration;
  /// Set where requests are told apart by host and path prefix.
  route_table_ref Routes;
  /// Set where the configuration limits what callers may send.
  std::optional<request_limits> Limits;
  fleet_view View;
  /// Daemons that callers are led to, in all data centres together.
  std::size_t EntryCount = 0;
  /// This daemon's place among them; EntryCount when it is none.
  std::size_t EntryIndex = 0;
  /// Who holds the keys of proxies that have ended gracefully.
  key_successors KeySuccessors;
  /// Owners by service name.
  std::map<std::string, service_owners, std::less<>> Owners;

  /// The owners of \p Service; empty when there are none.
  const service_owners &ownersOf(std::string_view Service) const {
    static const service_owners None;
    auto Found = Owners.find(Service);
    return Found == Owners.end() ? None : Found->second;
  }

  /// The backend servers of \p Service that this process owns.
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
