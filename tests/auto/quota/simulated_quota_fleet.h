#pragma once

#include "failure_check.h"
#include "quota/fleet_quota.h"
#include "quota/quota_meter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace endiverail::test {

/// How the simulated processes exchange messages.
struct quota_network {
  milliseconds MinDelay{1};
  milliseconds MaxDelay{15};
  double Loss = 0.01;
};

/// An organisation of the simulated fleet and how much it sends.
struct simulated_organisation {
  std::string Name;
  request_quota Quota;
  /// Requests a second through all processes.
  double Rate = 0;
  /// Whether a caller's requests come in pairs.
  double Clump = 1;
};

/// The meters and coordinators of a fleet, with a network between them whose
/// delays, losses and partitions the test sets. Requests come to random
/// processes; those that are admitted count as run at that moment.
class simulated_quota_fleet {
public:
  static constexpr milliseconds Step{5};
  /// Time from the start of the processes to the first requests.
  static constexpr milliseconds StartLead{10'000};

  simulated_quota_fleet(std::size_t Count, quota_settings Settings,
                        std::vector<simulated_organisation> Organisations,
                        std::uint64_t Seed)
      : Settings(Settings), Organisations(std::move(Organisations)),
        Random(Seed) {
    publish();
    for (std::size_t Index = 0; Index < Count; ++Index)
      add();
    Now += StartLead;
  }

  /// Takes changed organisations over at all processes.
  void publish() {
    std::vector<organisation_definition> Definitions;
    for (const simulated_organisation &Each : Organisations)
      Definitions.push_back({{Each.Name, {}, Each.Quota}, {}});
    Table = valueFrom([&] { return organisation_table::build(Definitions); });
  }

  /// Adds a process that all others know at once.
  void add() {
    std::size_t Index = Processes.size();
    Processes.push_back(std::make_unique<process>(
        process{"p" + std::to_string(Index), Now, true, 0, {}, {}, {}}));
    restart(Index);
    tellMembers();
  }

  /// A process starts anew and knows nothing of before.
  void restart(std::size_t Index) {
    process &Process = *Processes[Index];
    Process.Started = Now;
    Process.Running = true;
    ++Process.Incarnation;
    Process.Meter.emplace(Settings, Random());
    Process.Quota.emplace(Settings, Process.Id);
    tellMembers();
  }

  void kill(std::size_t Index) { Processes[Index]->Running = false; }
  /// A process that is paused neither takes requests nor answers.
  void pause(std::size_t Index, bool Paused) {
    Processes[Index]->Running = !Paused;
  }

  /// Which side of a partition a process is on; all are on side 0 at first.
  void setSide(std::size_t Index, int Side) { Processes[Index]->Side = Side; }

  /// What membership knows by now: the processes that run on the same side, and
  /// the others as lost.
  void tellMembers() {
    for (auto &Each : Processes) {
      std::vector<std::string> Present;
      std::vector<std::string> Lost;
      for (const auto &Other : Processes)
        (Other->Running && Other->Side == Each->Side ? Present : Lost)
            .push_back(Other->Id);
      Each->Quota->setMembers(Present, Lost, Now);
      Each->Meter->setMemberCount(Present.size());
    }
  }

  /// The process that coordinates an organisation.
  std::size_t coordinatorOf(const std::string &Organisation) const {
    std::vector<std::string> Ids;
    for (const auto &Each : Processes)
      Ids.push_back(Each->Id);
    std::string_view Id = quotaCoordinator(Organisation, Ids);
    return static_cast<std::size_t>(std::ranges::find(Ids, Id) - Ids.begin());
  }

  void run(milliseconds Time) {
    for (milliseconds Done{0}; Done < Time; Done += Step) {
      Now += Step;
      deliver();
      for (simulated_organisation &Each : Organisations)
        sendRequests(Each);
      for (std::size_t Index = 0; Index < Processes.size(); ++Index)
        if (Processes[Index]->Running)
          work(Index);
    }
  }

  struct counts {
    std::size_t Sent = 0;
    std::size_t Admitted = 0;
    /// Requests within the quota, by a token bucket that sees all of them at
    /// once.
    std::size_t Inside = 0;
    std::size_t RejectedInside = 0;

    /// Share of the requests within the quota that were rejected.
    double rejectedShare() const {
      return Inside == 0 ? 0
                         : static_cast<double>(RejectedInside) /
                               static_cast<double>(Inside);
    }
  };

  counts takeCounts(const std::string &Organisation) {
    return std::exchange(Counts[Organisation], {});
  }

  /// Most requests of an organisation that have run in any window so far, less
  /// what the operator allows; above 0 if the quota was broken.
  double worstExcess(const std::string &Organisation) const {
    auto Found = Excess.find(Organisation);
    return Found == Excess.end() ? 0 : Found->second;
  }

  std::size_t messages() const { return Messages; }

  quota_settings Settings;
  quota_network Network;
  std::vector<simulated_organisation> Organisations;
  steady_time Now{std::chrono::hours(1)};

private:
  struct process {
    std::string Id;
    steady_time Started;
    bool Running = true;
    int Side = 0;
    std::uint64_t Incarnation = 0;
    std::optional<quota_meter> Meter;
    std::optional<fleet_quota> Quota;
  };

  using content = std::variant<quota_report, std::vector<quota_share>>;
  struct message {
    steady_time At;
    std::size_t From = 0;
    std::size_t To = 0;
    content Content;

    bool operator>(const message &Other) const { return At > Other.At; }
  };

  struct bucket {
    double Tokens = 0;
    steady_time At;
  };

  std::size_t indexOf(std::string_view Id) const {
    return static_cast<std::size_t>(
        std::ranges::find_if(Processes,
                             [&](const auto &Each) { return Each->Id == Id; }) -
        Processes.begin());
  }

  void send(std::size_t From, std::size_t To, content Content) {
    ++Messages;
    if (Processes[From]->Side != Processes[To]->Side ||
        (From != To && Fraction(Random) < Network.Loss))
      return;
    std::uniform_int_distribution<std::int64_t> Delay(Network.MinDelay.count(),
                                                      Network.MaxDelay.count());
    Waiting.push({Now + milliseconds(From == To ? 0 : Delay(Random)), From, To,
                  std::move(Content)});
  }

  void deliver() {
    while (!Waiting.empty() && Waiting.top().At <= Now) {
      message Message = Waiting.top();
      Waiting.pop();
      process &Process = *Processes[Message.To];
      if (!Process.Running)
        continue;
      if (const auto *Report = std::get_if<quota_report>(&Message.Content))
        send(Message.To, Message.From,
             Process.Quota->count(Processes[Message.From]->Id, *Report, *Table,
                                  Now));
      else
        Process.Meter->onShares(
            std::get<std::vector<quota_share>>(Message.Content), Now);
    }
  }

  void sendRequests(simulated_organisation &From) {
    double Seconds = std::chrono::duration<double>(Step).count();
    std::poisson_distribution<int> Arrivals(From.Rate * Seconds / From.Clump);
    for (int Left = Arrivals(Random); Left > 0; --Left) {
      process &Process = *Processes[static_cast<std::size_t>(
          Fraction(Random) * static_cast<double>(Processes.size()))];
      for (double Part = 0; Part < From.Clump && Process.Running; ++Part) {
        counts &Count = Counts[From.Name];
        bool Inside = takeToken(From);
        bool Admitted =
            Process.Meter->admit(From.Name, From.Quota, Now).Admitted;
        ++Count.Sent;
        Count.Admitted += Admitted ? 1 : 0;
        Count.Inside += Inside ? 1 : 0;
        Count.RejectedInside += Inside && !Admitted ? 1 : 0;
        if (Admitted)
          recordRun(From);
      }
    }
  }

  /// Takes a token of the reference bucket.
  bool takeToken(const simulated_organisation &Of) {
    bucket &Bucket =
        Buckets.try_emplace(Of.Name, bucket{Of.Quota.Burst, Now}).first->second;
    double Elapsed = std::chrono::duration<double>(Now - Bucket.At).count();
    Bucket.Tokens = std::min(Of.Quota.Burst,
                             Bucket.Tokens + Of.Quota.RatePerSecond * Elapsed);
    Bucket.At = Now;
    if (Bucket.Tokens < 1)
      return false;
    Bucket.Tokens -= 1;
    return true;
  }

  void recordRun(const simulated_organisation &Of) {
    std::deque<steady_time> &Runs = Ran[Of.Name];
    Runs.push_back(Now);
    while (Runs.front() <= Now - Settings.Window)
      Runs.pop_front();
    double Window = std::chrono::duration<double>(Settings.Window).count();
    double Allowed = (Of.Quota.RatePerSecond * Window + Of.Quota.Burst) *
                         (1 + Settings.Overage) +
                     Settings.Slack;
    auto [Worst, Added] = Excess.try_emplace(Of.Name, -Allowed);
    Worst->second =
        std::max(Worst->second, static_cast<double>(Runs.size()) - Allowed);
  }

  void work(std::size_t Index) {
    process &Process = *Processes[Index];
    if (auto Due = Process.Meter->nextReport(); Due && *Due <= Now) {
      quota_report Report{
          Process.Incarnation,
          std::chrono::duration_cast<milliseconds>(Now - Process.Started),
          Process.Meter->takeReport(Now)};
      for (addressed_report &Part : Process.Quota->route(Report))
        send(Index, indexOf(Part.Coordinator), std::move(Part.Report));
    }
    if (auto Due = Process.Quota->nextWake(); Due && *Due <= Now) {
      auto Shares = Process.Quota->takeAnnouncements(*Table, Now);
      if (!Shares.empty())
        for (std::size_t To = 0; To < Processes.size(); ++To)
          send(Index, To, Shares);
    }
  }

  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Fraction{0, 1};
  organisation_table_ref Table;
  std::vector<std::unique_ptr<process>> Processes;
  std::priority_queue<message, std::vector<message>, std::greater<>> Waiting;
  std::map<std::string, counts> Counts;
  std::map<std::string, std::deque<steady_time>> Ran;
  std::map<std::string, double> Excess;
  std::map<std::string, bucket> Buckets;
  std::size_t Messages = 0;
};

} // namespace endiverail::test
