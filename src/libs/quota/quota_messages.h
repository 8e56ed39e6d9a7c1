#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// How closely the fleet has to keep the quotas of organisations.
struct quota_settings {
  /// Length of the sliding window that the operator checks.
  milliseconds Window{5'000};
  /// Share by which the requests in a window may exceed the quota.
  double Overage = 0;
  /// Number of requests by which they may exceed it beyond that.
  double Slack = 0;

  bool operator==(const quota_settings &) const = default;
};

/// A process keeps its counters of an organisation for at least this long after
/// it has reported them.
inline constexpr milliseconds QuotaCounterLifetime{11'000};

/// What one process has seen of an organisation's requests.
struct quota_use {
  std::string Organisation;
  /// Requests since the process started, and those that it has let pass and
  /// that may have run.
  std::int64_t Requested = 0;
  std::int64_t Admitted = 0;
  /// Part of Admitted that is no older than the window.
  std::int64_t RecentlyAdmitted = 0;
  /// Requests a second of the organisation at all processes, by the last answer
  /// of a coordinator, and the age of that; 0 if there is no recent one.
  double KnownRequestRate = 0;
  milliseconds KnownRequestRateAge{0};
  /// Whether the process goes on reporting, also without requests.
  bool KeepsReporting = false;

  bool operator==(const quota_use &) const = default;
};

/// A process's report to the coordinators of organisations.
struct quota_report {
  /// Tells restarts of the process apart.
  std::uint64_t Incarnation = 0;
  /// Time since the process started.
  milliseconds Uptime{0};
  std::vector<quota_use> Uses;

  bool operator==(const quota_report &) const = default;
};

/// A coordinator's answer for one organisation.
struct quota_share {
  std::string Organisation;
  /// Share of the organisation's requests that each process lets pass; 1 or
  /// more for all of them.
  double Share = 1;
  /// Requests of the organisation that arrive at all processes together, per
  /// second.
  double RequestRate = 0;
  /// The receiver's part of these requests; unset in an announcement to all.
  std::optional<double> OwnPart{};

  bool operator==(const quota_share &) const = default;
};

} // namespace endiverail
