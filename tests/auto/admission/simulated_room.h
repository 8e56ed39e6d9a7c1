#pragma once

#include "process/pool_scheduler.h"
#include "request/attempt_policy.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace endiverail::test {

/// Callers of one kind of work of one organisation.
struct caller_group {
  std::string Organisation;
  std::optional<rank> OrganisationRank{};
  rank Rank = rank::Normal;
  bool Idempotent = false;
  /// Requests per second outside of the trouble, and during it.
  double Rate = 100;
  double TroubleRate = 100;
  milliseconds Target{800};
  milliseconds Deadline{1'500};
  milliseconds Work{150};
  /// How often a caller comes back after a refusal.
  std::size_t Returns = 0;
};

/// Parameters of a simulation. Requests that arrive during the trouble are
/// counted.
struct room_load {
  std::size_t Servers = 40;
  std::size_t Entries = 10;
  std::vector<caller_group> Groups{};
  std::chrono::seconds Calm{4};
  std::chrono::seconds Trouble{8};
  /// Share of the arrivals that the servers turn away during the trouble.
  double ShedShare = 0;
  retry_allowance Retries{0.2, 192};
  std::uint64_t Seed = 1;
};

struct group_result {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  /// Callers that end with a refusal.
  int Refused = 0;
  /// Refusals that were given later than an eighth of the target time.
  int RefusedLate = 0;

  double inTime() const { return InTime / static_cast<double>(Asked); }
};

struct room_result {
  std::vector<group_result> Groups;
  /// Arrivals at servers that are not the first ones of their request.
  int Retries = 0;
};

/// Simulates entries that share one pool of backend servers, which turn
/// requests away or have too few slots for a while.
class simulated_room {
public:
  explicit simulated_room(const room_load &Settings)
      : Load(Settings), Random(Settings.Seed) {
    service_definition Definition;
    Definition.Name = Definition.Pool = "s";
    Definition.QueueLimit = {400, 400, 400};
    std::vector<backend_server> Listed;
    for (std::size_t Index = 0; Index < Load.Servers; ++Index) {
      backend_server Entry;
      Entry.Address = std::to_string(Index);
      Entry.Pool = "s";
      Entry.Slots = Slots;
      Listed.push_back(Entry);
      Servers[Entry.Address].UsedBy.resize(Load.Entries);
    }
    for (std::size_t Index = 0; Index < Load.Entries; ++Index) {
      auto &Entry = Entries.emplace_back(
          std::make_unique<pool_scheduler>(Definition, Index));
      Entry->configure(Definition, Listed, Now);
      Entry->setTrialPartition({Index, Load.Entries});
      Entry->setRetryLimits(Load.Retries.limitsFor(Load.Entries));
    }
    Result.Groups.resize(Load.Groups.size());
    for (std::size_t Group = 0; Group < Load.Groups.size(); ++Group)
      nextArrival(Group);
    shareReports();
  }

  room_result simulate() {
    steady_time End = troubleEnd() + std::chrono::seconds(4);
    while (Now < End) {
      auto Next = Events.begin();
      Now = Next->first;
      auto Action = std::move(Next->second);
      Events.erase(Next);
      Action();
    }
    return Result;
  }

private:
  static constexpr std::size_t Slots = 3;
  static constexpr std::size_t ServerQueue = 12;
  static constexpr milliseconds NetworkDelay{1};
  static constexpr milliseconds ReportDelay{50};

  struct caller {
    std::size_t Group = 0;
    std::size_t Entry = 0;
    steady_time FirstArrived;
    steady_time Arrived;
    std::size_t Returns = 0;
    std::size_t Attempts = 0;
    std::vector<std::string> Avoid{};
  };
  struct job {
    request_id Id = 0;
    std::string Server;
  };
  struct server {
    std::size_t Running = 0;
    std::deque<job> Queue;
    std::vector<std::size_t> UsedBy;
  };

  steady_time troubleBegin() const { return Begin + Load.Calm; }
  steady_time troubleEnd() const { return troubleBegin() + Load.Trouble; }
  bool isTrouble(steady_time Time) const {
    return Time >= troubleBegin() && Time < troubleEnd();
  }
  const caller_group &groupOf(const caller &Caller) const {
    return Load.Groups[Caller.Group];
  }

  void at(steady_time::duration After, std::function<void()> Action) {
    Events.emplace(Now + After, std::move(Action));
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
  }
  steady_time::duration exponential(double Seconds) {
    return std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double>(
            std::exponential_distribution<double>(1 / Seconds)(Random)));
  }

  void nextArrival(std::size_t Group) {
    const caller_group &Callers = Load.Groups[Group];
    double Rate = isTrouble(Now) ? Callers.TroubleRate : Callers.Rate;
    at(exponential(1 / Rate), [this, Group] {
      caller Caller{Group, 0, Now, Now, 0, 0, {}};
      if (isTrouble(Now))
        ++Result.Groups[Group].Asked;
      arrive(std::move(Caller));
      nextArrival(Group);
    });
  }

  void arrive(caller Caller) {
    request_id Id = ++LastId;
    Caller.Arrived = Now;
    Caller.Entry =
        std::uniform_int_distribution<std::size_t>(0, Load.Entries - 1)(Random);
    Caller.Attempts = 0;
    Caller.Avoid.clear();
    std::size_t Entry = Caller.Entry;
    Callers[Id] = std::move(Caller);
    if (auto Dropped = Entries[Entry]->submit(waiting(Id), Now))
      refuse(*Dropped);
    watchQueueTime(Id);
    dispatch(Entry);
  }

  void watchQueueTime(request_id Id) {
    if (!Callers.contains(Id))
      return;
    std::size_t Entry = Callers.at(Id).Entry;
    at(pool_scheduler::maxQueueTime(waiting(Id)),
       [this, Entry] { dispatch(Entry); });
  }

  waiting_request waiting(request_id Id) const {
    const caller &Caller = Callers.at(Id);
    const caller_group &Group = groupOf(Caller);
    waiting_request Request;
    Request.Id = Id;
    Request.Rank = Group.Rank;
    Request.Idempotent = Group.Idempotent;
    Request.Organisation = Group.Organisation;
    Request.OrganisationRank = Group.OrganisationRank;
    Request.Arrived = Caller.Arrived;
    Request.Target = Group.Target;
    Request.Deadline = Caller.FirstArrived + Group.Deadline;
    Request.UsualTime = Group.Work;
    Request.Avoid = Caller.Avoid;
    return Request;
  }

  void dispatch(std::size_t Index) {
    pool_scheduler &Entry = *Entries[Index];
    for (const waiting_request &Expired : Entry.takeExpired(Now))
      refuse(Expired.Id);
    while (auto Assignment = Entry.next(Now)) {
      caller &Caller = Callers.at(Assignment->Request);
      Result.Retries += Caller.Attempts++ > 0 ? 1 : 0;
      ++Servers[Assignment->Server].UsedBy[Index];
      at(NetworkDelay,
         [this, Job = job{Assignment->Request, Assignment->Server}] {
           arriveAtServer(Job);
         });
    }
  }

  void arriveAtServer(const job &Job) {
    server &Server = Servers[Job.Server];
    bool Sheds = isTrouble(Now) && chance(Load.ShedShare);
    if (Sheds || Server.Queue.size() >= ServerQueue)
      return at(NetworkDelay, [this, Job] { onShed(Job); });
    Entries[Callers.at(Job.Id).Entry]->recordReached(Job.Server, Now);
    if (Server.Running < Slots)
      return startWork(Job);
    Server.Queue.push_back(Job);
  }

  void startWork(const job &Job) {
    ++Servers[Job.Server].Running;
    const caller_group &Group = groupOf(Callers.at(Job.Id));
    double Mean = std::chrono::duration<double>(Group.Work).count();
    double Time =
        std::lognormal_distribution<double>(std::log(Mean), 0.4)(Random);
    at(std::chrono::duration_cast<steady_time::duration>(
           std::chrono::duration<double>(Time)),
       [this, Job] { onAnswer(Job); });
  }

  void onAnswer(const job &Job) {
    server &Server = Servers[Job.Server];
    --Server.Running;
    if (!Server.Queue.empty()) {
      job Next = Server.Queue.front();
      Server.Queue.pop_front();
      startWork(Next);
    }
    const caller Caller = Callers.at(Job.Id);
    endAttempt(Job, attempt_signal::Accepted);
    Entries[Caller.Entry]->observe(Job.Server, attempt_signal::Good, Now);
    if (isTrouble(Caller.FirstArrived)) {
      group_result &Group = Result.Groups[Caller.Group];
      ++(Now - Caller.FirstArrived <= groupOf(Caller).Target ? Group.InTime
                                                             : Group.Late);
    }
    Callers.erase(Job.Id);
    dispatch(Caller.Entry);
  }

  void onShed(const job &Job) {
    caller &Caller = Callers.at(Job.Id);
    std::size_t Index = Caller.Entry;
    pool_scheduler &Entry = *Entries[Index];
    endAttempt(Job, attempt_signal::Shed);
    waiting_request Request = waiting(Job.Id);
    attempt_failure Failure{error_kind::BackendShed, true, false};
    attempt_history History{
        Request.Idempotent,
        Caller.Attempts,
        0,
        false,
        std::chrono::duration_cast<milliseconds>(Request.Deadline - Now),
        Request.UsualTime,
        mayRetry(Entry, Request)};
    if (retryObstacle(Failure, History)) {
      refuse(Job.Id);
    } else {
      takeRetry(Entry, Request);
      Caller.Avoid.push_back(Job.Server);
      Entry.resubmit(waiting(Job.Id), Now);
      watchQueueTime(Job.Id);
    }
    dispatch(Index);
  }

  bool mayRetry(pool_scheduler &Entry, const waiting_request &Request) {
    return Entry.retries().available(Request.claimAt(Now));
  }
  void takeRetry(pool_scheduler &Entry, const waiting_request &Request) {
    Entry.retries().take(Request.claimAt(Now));
  }

  void endAttempt(const job &Job, attempt_signal Signal) {
    std::size_t Index = Callers.at(Job.Id).Entry;
    pool_scheduler &Entry = *Entries[Index];
    Entry.release(Job.Server, groupOf(Callers.at(Job.Id)).Rank, Now);
    Entry.observe(Job.Server, Signal, Now);
    --Servers[Job.Server].UsedBy[Index];
  }

  void refuse(request_id Id) {
    caller Caller = Callers.at(Id);
    Callers.erase(Id);
    const caller_group &Group = groupOf(Caller);
    group_result &Counts = Result.Groups[Caller.Group];
    bool Counted = isTrouble(Caller.FirstArrived);
    if (Counted && Now - Caller.Arrived > Group.Target / 8)
      ++Counts.RefusedLate;
    milliseconds Delay = Entries[Caller.Entry]->reserveRetryDelay(Now);
    // Callers wait for a third of the time that they have left at most.
    auto Left = Caller.FirstArrived + Group.Deadline - Now;
    auto Wait = std::min<steady_time::duration>(Delay, Left / 3);
    if (Caller.Returns < Group.Returns && Left > steady_time::duration(0)) {
      ++Caller.Returns;
      return at(Wait, [this, Caller] { arrive(Caller); });
    }
    if (Counted)
      ++Counts.Refused;
  }

  /// Tells each entry of the slots that the others use.
  void shareReports() {
    for (const auto &[Name, Server] : Servers) {
      auto Used = std::reduce(Server.UsedBy.begin(), Server.UsedBy.end());
      for (std::size_t Index = 0; Index < Load.Entries; ++Index)
        Entries[Index]->setRemoteSlots(Name, Used - Server.UsedBy[Index], Now);
    }
    for (std::size_t Index = 0; Index < Load.Entries; ++Index)
      dispatch(Index);
    at(ReportDelay, [this] { shareReports(); });
  }

  const steady_time Begin{std::chrono::hours(1)};
  steady_time Now = Begin;
  room_load Load;
  std::mt19937_64 Random;
  std::map<std::string, server> Servers;
  std::vector<std::unique_ptr<pool_scheduler>> Entries;
  std::map<request_id, caller> Callers;
  std::multimap<steady_time, std::function<void()>> Events;
  request_id LastId = 0;
  room_result Result;
};

/// Simulates the same load with several seeds and adds up the results.
inline room_result simulateRoom(room_load Load) {
  constexpr std::uint64_t Seeds = 4;
  room_result Sum;
  Sum.Groups.resize(Load.Groups.size());
  for (Load.Seed = 1; Load.Seed <= Seeds; ++Load.Seed) {
    room_result Result = simulated_room(Load).simulate();
    Sum.Retries += Result.Retries;
    for (std::size_t Group = 0; Group < Load.Groups.size(); ++Group) {
      group_result &To = Sum.Groups[Group];
      const group_result &From = Result.Groups[Group];
      To.Asked += From.Asked;
      To.InTime += From.InTime;
      To.Late += From.Late;
      To.Refused += From.Refused;
      To.RefusedLate += From.RefusedLate;
    }
  }
  return Sum;
}

} // namespace endiverail::test
