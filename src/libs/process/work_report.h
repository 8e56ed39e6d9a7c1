#pragma once

#include "base/time.h"
#include "process/outlier_detector.h"
#include "version/fleet_view.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Slots in use and signals of one proxy's requests to a backend server since
/// the proxy's last report.
struct server_work {
  endpoint_text Server;
  /// Slots that the proxy uses at the time of the report.
  std::uint32_t InUse = 0;
  std::uint32_t Good = 0;
  std::uint32_t Accepted = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Slow = 0;
  std::uint32_t ErrorAfterWork = 0;
  /// Time from the last arrival of a request to the report; no value if none
  /// has arrived since the proxy's last report.
  std::optional<milliseconds> ReachedAgo{};

  bool operator==(const server_work &) const = default;
};

/// Report of a proxy about its requests to the backend servers of a service.
struct work_report {
  std::string Service;
  std::vector<server_work> Servers;

  bool operator==(const work_report &) const = default;
};

/// The reports of a proxy about several services, which are sent together.
struct work_reports {
  std::vector<work_report> Services;
};

/// Collects the contents of a service's next work report.
class work_report_builder {
public:
  /// Reporting interval of a busy service, per entry of the fleet. An entry
  /// thus receives 200 reports of a service per second, regardless of the
  /// number of entries. With twelve entries, the reported slots in use are a
  /// tenth of the usual answer time old.
  static constexpr milliseconds IntervalPerEntry{5};
  /// Minimum reporting interval, for few entries; more frequent reports would
  /// hold nothing new.
  static constexpr milliseconds MinInterval{60};
  /// Slots that stay in use are reported again after this time, for receivers
  /// that missed a datagram.
  static constexpr milliseconds RefreshInterval{500};

  /// Sets the number of entries that exchange reports.
  void setEntries(std::size_t Count) {
    Interval = std::clamp<milliseconds>(IntervalPerEntry *
                                            static_cast<std::int64_t>(Count),
                                        MinInterval, RefreshInterval);
  }

  void recordUse(std::string_view Server, std::uint32_t InUse) {
    changedWork(Server).InUse = InUse;
  }

  /// A shed request isn't reported: it is no sign of the server's health, and
  /// the reported slots in use show the load.
  void recordSignal(std::string_view Server, attempt_signal Signal) {
    server_work &Work = changedWork(Server);
    Work.Good += Signal == attempt_signal::Good ? 1 : 0;
    Work.Accepted += Signal == attempt_signal::Accepted ? 1 : 0;
    Work.Failed += Signal == attempt_signal::Failed ? 1 : 0;
    Work.Slow += Signal == attempt_signal::Slow ? 1 : 0;
    Work.ErrorAfterWork += Signal == attempt_signal::ErrorAfterWork ? 1 : 0;
    Urgent = Urgent || Signal == attempt_signal::Failed ||
             Signal == attempt_signal::Slow;
  }

  /// Records that a request has reached the server.
  void recordReached(std::string_view Server, steady_time Now) {
    changedEntry(Server).LastReached = Now;
  }

  /// Makes the next report due immediately.
  void expedite() { Urgent = true; }

  /// Whether a report is due.
  bool due(steady_time Now) const {
    return !Entries.empty() && Now >= nextDue();
  }

  /// When the next report is due if no further signals are recorded.
  steady_time nextDue() const {
    if (Urgent)
      return LastTaken;
    return LastTaken + (Changed ? Interval : RefreshInterval);
  }

  bool empty() const { return Entries.empty(); }

  /// Returns the report and starts the next one. It contains the servers that
  /// have changed since the last report, and those in use that have not been
  /// reported for the refresh interval.
  work_report take(std::string_view Service, steady_time Now) {
    work_report Report{std::string(Service), {}};
    for (entry &Entry : Entries) {
      if (!Entry.Changed && Now < Entry.LastReported + RefreshInterval)
        continue;
      if (Entry.LastReached)
        Entry.Work.ReachedAgo =
            std::chrono::duration_cast<milliseconds>(Now - *Entry.LastReached);
      Report.Servers.push_back(Entry.Work);
      Entry = {server_work{Entry.Work.Server, Entry.Work.InUse}, Now, false,
               std::nullopt};
    }
    std::erase_if(Entries,
                  [](const entry &Entry) { return Entry.Work.InUse == 0; });
    LastTaken = Now;
    Changed = Urgent = false;
    return Report;
  }

private:
  struct entry {
    server_work Work;
    steady_time LastReported;
    bool Changed = false;
    /// When a request last reached the server, if since the last report.
    std::optional<steady_time> LastReached;
  };

  server_work &changedWork(std::string_view Server) {
    return changedEntry(Server).Work;
  }

  entry &changedEntry(std::string_view Server) {
    Changed = true;
    auto Found = std::ranges::find_if(
        Entries, [&](const entry &E) { return E.Work.Server == Server; });
    if (Found == Entries.end())
      Found = Entries.insert(
          Entries.end(),
          entry{server_work{std::string(Server)}, {}, false, {}});
    Found->Changed = true;
    return *Found;
  }

  milliseconds Interval = MinInterval;
  std::vector<entry> Entries;
  steady_time LastTaken;
  bool Changed = false;
  bool Urgent = false;
};

/// Slots in use by other proxies, as reported by them.
class remote_slots {
public:
  /// A report that is not repeated for this time expires, as its proxy may be
  /// lost.
  static constexpr milliseconds ReportLifetime =
      3 * work_report_builder::RefreshInterval;

  void record(std::string_view Proxy, const server_work &Work,
              steady_time Now) {
    auto &Usages = Servers.try_emplace(Work.Server).first->second;
    auto Found = std::ranges::find(Usages, Proxy, &usage::Proxy);
    if (Found == Usages.end())
      Found = Usages.insert(Usages.end(), usage{std::string(Proxy), 0, Now});
    Found->InUse = Work.InUse;
    Found->LastReported = Now;
    std::erase_if(Usages, [&](const usage &Usage) {
      return Usage.InUse == 0 || isExpired(Usage, Now);
    });
  }

  std::size_t used(std::string_view Server) const {
    auto Found = Servers.find(Server);
    if (Found == Servers.end())
      return 0;
    return std::transform_reduce(Found->second.begin(), Found->second.end(),
                                 std::size_t{0}, std::plus{},
                                 std::mem_fn(&usage::InUse));
  }

  /// Removes the reports that have expired; returns their servers. Checks only
  /// once per ExpiryInterval.
  std::vector<endpoint_text> takeExpired(steady_time Now) {
    std::vector<endpoint_text> Changed;
    if (Now < NextExpiry)
      return Changed;
    NextExpiry = Now + ExpiryInterval;
    for (auto &[Server, Usages] : Servers)
      if (std::erase_if(Usages, [&](const usage &Usage) {
            return isExpired(Usage, Now);
          }) > 0)
        Changed.push_back(Server);
    return Changed;
  }

private:
  static constexpr milliseconds ExpiryInterval{100};

  struct usage {
    std::string Proxy;
    std::uint32_t InUse = 0;
    steady_time LastReported;
  };

  static bool isExpired(const usage &Usage, steady_time Now) {
    return Now > Usage.LastReported + ReportLifetime;
  }

  std::map<endpoint_text, std::vector<usage>, std::less<>> Servers;
  steady_time NextExpiry;
};

} // namespace endiverail
