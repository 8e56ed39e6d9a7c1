#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "process/pool_scheduler.h"
#include "process/retry_budget.h"
#include "quota/quota_messages.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Settings of a daemon that takes its configuration and backend servers from
/// a store. docs/SETTINGS.md lists the fields.
struct store_daemon_settings {
  std::string Id;
  std::string DataCentre;
  std::string Region;
  /// Where callers send requests.
  endpoint_text CallerAddress;
  /// Where the operator's checks and metrics readers ask.
  endpoint_text ReadyAddress;
  /// Where metrics are read, apart from all other questions; empty for nowhere.
  endpoint_text MetricsAddress;
  /// Where callers ask which addresses to use.
  endpoint_text DirectoryAddress;
  /// Where daemons tell each other news.
  endpoint_text PeerAddress;
  endpoint_text Store;
  /// Any addresses of hosts that may run daemons; peers have the same port
  /// everywhere.
  std::vector<endpoint_text> Seeds;
  /// Keeps other traffic out of the daemons' own.
  std::string FleetSecret;
  std::size_t MostBodyBytes = 0;
  std::size_t BodyMemoryBytes = 0;
  /// Answers up to this size are held back until they are whole.
  std::size_t MostBufferedBytes = 0;
  /// What the operator allows the fleet to retry.
  retry_allowance Retries;
  /// How closely the quotas of organisations have to be kept.
  quota_settings Quotas;
  /// How requests are placed in pools of short and long requests.
  placement_measure Placement = placement_measure::SlotsInUse;
  /// Whether requests are compared at two servers drawn at random in all pools.
  bool SamplesServers = false;
  /// Requests a second that this host can carry; 0 where that is not known.
  std::uint32_t Capacity = 0;
  milliseconds AddressLifetime{0};
  /// How often backend servers state themselves at the store.
  milliseconds RegistrationInterval{0};
  /// From the request to end to the end at the latest.
  milliseconds DrainTime{0};

  bool operator==(const store_daemon_settings &) const = default;
};

/// Reads and checks a settings file. Fails with BadSettings; the detail has a
/// line for each mistake.
result<store_daemon_settings> readStoreDaemonSettings(std::string_view FileName,
                                                      std::string_view Text);

} // namespace endiverail
