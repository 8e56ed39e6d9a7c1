#pragma once

#include "base/time.h"
#include "process/outlier_detector.h"
#include "version/fleet_view.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What one proxy's work with a backend server shows since its last report.
struct server_work {
  endpoint_text Server;
  /// Slots that the proxy uses now.
  std::uint32_t InUse = 0;
  std::uint32_t Good = 0;
  std::uint32_t Accepted = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Slow = 0;
  std::uint32_t ErrorAfterWork = 0;

  bool operator==(const server_work &) const = default;
};

/// A proxy's work with the backend servers of one service.
struct work_report {
  std::string Service;
  std::vector<server_work> Servers;

  bool operator==(const work_report &) const = default;
};

/// Collects what a service's report will tell.
class work_report_builder {
public:
  /// A busy service tells of its work once in this time for each entry of the
  /// fleet; a failure is told at once. An entry then takes 200 reports of a
  /// service a second, however many entries there are, and with twelve of them
  /// the slots in use are a tenth of a usual answer old.
  static constexpr milliseconds IntervalPerEntry{5};
  /// With few entries; more reports would tell nothing that is new.
  static constexpr milliseconds MinInterval{60};
  /// Slots that stay in use are told again, for whoever missed a datagram.
  static constexpr milliseconds RefreshInterval{500};

  /// How many entries tell each other.
  void setEntries(std::size_t Count) {
    Interval = std::clamp<milliseconds>(IntervalPerEntry *
                                            static_cast<std::int64_t>(Count),
                                        MinInterval, RefreshInterval);
  }

  void recordUse(std::string_view Server, std::uint32_t InUse) {
    changedWork(Server).InUse = InUse;
  }

  /// A shed request is no sign of health; its server's slots tell enough.
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

  /// Whether a report is due.
  bool due(steady_time Now) const {
    return Urgent || (Changed && Now >= LastTaken + Interval) ||
           (!Entries.empty() && Now >= LastTaken + RefreshInterval);
  }

  /// When a report will be due without further signals.
  steady_time nextDue() const {
    return LastTaken + (Changed ? Interval : RefreshInterval);
  }

  bool empty() const { return Entries.empty(); }

  /// Takes the report: what has changed since the last one, and what was not
  /// told for a while of servers in use.
  work_report take(std::string_view Service, steady_time Now) {
    work_report Report{std::string(Service), {}};
    for (entry &Entry : Entries) {
      if (!Entry.Changed && Now < Entry.LastReported + RefreshInterval)
        continue;
      Report.Servers.push_back(Entry.Work);
      Entry = {server_work{Entry.Work.Server, Entry.Work.InUse}, Now, false};
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
  };

  server_work &changedWork(std::string_view Server) {
    Changed = true;
    auto Found = std::ranges::find_if(
        Entries, [&](const entry &E) { return E.Work.Server == Server; });
    if (Found == Entries.end())
      Found = Entries.insert(
          Entries.end(), entry{server_work{std::string(Server)}, {}, false});
    Found->Changed = true;
    return Found->Work;
  }

  milliseconds Interval = MinInterval;
  std::vector<entry> Entries;
  steady_time LastTaken;
  bool Changed = false;
  bool Urgent = false;
};

/// Slots that other proxies use, as they have told.
class remote_slots {
public:
  /// What a proxy has not told again for this long is over: it may be lost.
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
  }

  std::size_t used(std::string_view Server, steady_time Now) {
    auto Found = Servers.find(Server);
    if (Found == Servers.end())
      return 0;
    std::erase_if(Found->second, [&](const usage &Usage) {
      return Usage.InUse == 0 || Now > Usage.LastReported + ReportLifetime;
    });
    std::size_t Sum = 0;
    for (const usage &Usage : Found->second)
      Sum += Usage.InUse;
    return Sum;
  }

private:
  struct usage {
    std::string Proxy;
    std::uint32_t InUse = 0;
    steady_time LastReported;
  };
  std::map<endpoint_text, std::vector<usage>, std::less<>> Servers;
};

} // namespace endiverail
