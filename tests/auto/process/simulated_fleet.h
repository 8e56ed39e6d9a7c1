#pragma once

#include "floor_check.h"
#include "process/pool_scheduler.h"
#include "process/service_state.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace endiverail::test {

enum class server_fault {
  /// Requests fail immediately.
  Errors,
  /// Requests are never answered.
  Hang,
  /// The answers of requests that have run are lost.
  LostAnswers,
  /// No connection can be made.
  Unreachable,
};

/// A fault of some of the servers for some time.
struct simulated_fault {
  server_fault Kind = server_fault::Errors;
  steady_time::duration From{};
  steady_time::duration For{};
  /// The part of the pool that is affected, from a share of it to another.
  double FirstServer = 0;
  double LastServer = 1;
  /// Share of the affected servers' requests.
  double Strength = 1;
};

/// Parameters of a simulation.
struct simulated_load {
  std::size_t Servers = 40;
  std::size_t Entries = 12;
  /// Requests per second outside of the burst, and during it.
  double Rate = 200;
  double BurstRate = 200;
  steady_time::duration BurstFrom{};
  steady_time::duration BurstFor{};
  steady_time::duration Length = std::chrono::seconds(14);
  /// Share of the servers that are unhealthy at any time.
  double UnhealthyShare = 0.3;
  /// Share of the requests that go to the quarter of the entries with larger
  /// hosts.
  double ShareToLargeEntries = 0.25;
  /// When a share of the servers stops answering for good, including the
  /// requests that they have.
  std::optional<steady_time::duration> SilentSince{};
  double SilentShare = 0;
  /// How long the entries know the pool before the first request.
  steady_time::duration IdleBefore{};
  /// Whether requests may be repeated.
  bool Idempotent = false;
  /// Whether attempts are given up, as slow or at the caller's timeout.
  bool Timeouts = false;
  std::vector<simulated_fault> Faults{};
  /// When the last ones of the entries are lost, and their number.
  steady_time::duration EntriesLostAt{};
  std::size_t LostEntries = 0;
  /// Share of the entries with lossy links, and share of their datagrams and
  /// requests that are lost; a lost request is sent again a second later.
  double LossyEntries = 0;
  double Loss = 0;
  std::uint64_t Seed = 1;
};

/// Numbers of requests by their outcome for the callers.
struct simulated_result {
  int Submitted = 0;
  int InTime = 0;
  int Late = 0;
  int Failed = 0;
  int Rejected = 0;
  int Unanswered = 0;
  /// Rejected requests that were queued for longer than an eighth of their
  /// target time.
  int RejectedLate = 0;
  /// Servers that stopped answering.
  int Silent = 0;
  floor_check::result Floor;

  double share(int Count) const {
    return Count / static_cast<double>(Submitted);
  }

  simulated_result &operator+=(const simulated_result &Other) {
    Submitted += Other.Submitted;
    InTime += Other.InTime;
    Late += Other.Late;
    Failed += Other.Failed;
    Rejected += Other.Rejected;
    Unanswered += Other.Unanswered;
    RejectedLate += Other.RejectedLate;
    Silent += Other.Silent;
    Floor += Other.Floor;
    return *this;
  }
};

/// Simulates entries that share one pool of backend servers by exchanging
/// reports, as the daemons do, and servers with slots and queues. The requests
/// take about 460 ms and have a target time of 4 s; callers wait for 5 s.
class simulated_fleet {
public:
  explicit simulated_fleet(const simulated_load &Load)
      : Load(Load), Random(Load.Seed) {
    Definition.Name = Definition.Pool = "s";
    Definition.QueueLimit = {400, 400, 400};
    Kind.Name = "write";
    Kind.LatencyTarget = Target;
    std::vector<backend_server> Listed;
    for (std::size_t Index = 0; Index < Load.Servers; ++Index) {
      backend_server Entry;
      Entry.Address = "10.0.0." + std::to_string(Index) + ":1";
      Entry.Pool = "s";
      Entry.Slots = Slots;
      Listed.push_back(Entry);
      Servers[Entry.Address].Unhealthy = chance(Load.UnhealthyShare);
      Servers[Entry.Address].Position = (static_cast<double>(Index) + 0.5) /
                                        static_cast<double>(Load.Servers);
      Floor.addServer(Entry.Address);
      changeHealth(Entry.Address);
    }
    Now = Begin - Load.IdleBefore;
    for (std::size_t Index = 0; Index < Load.Entries; ++Index) {
      Entries.push_back(std::make_unique<state>(Definition, Index));
      Entries.back()->Scheduler.configure(Definition, Listed, Now);
      Entries.back()->Scheduler.setTrialPartition({Index, Load.Entries});
      Entries.back()->Scheduler.setRetryLimits(
          retry_allowance{0.2, 62}.limitsFor(Load.Entries));
      Entries.back()->Work.setEntries(Load.Entries);
      Lost.push_back(false);
    }
    Now = Begin;
    for (std::size_t Index = 0; Index < Load.Entries; ++Index)
      sendReports(Index);
    for (const simulated_fault &Fault : Load.Faults)
      addFault(Fault);
    if (Load.LostEntries > 0)
      at(Load.EntriesLostAt, [this] { loseEntries(); });
    nextArrival();
    if (Load.SilentSince)
      at(*Load.SilentSince, [this] { silenceServers(); });
  }

  simulated_result simulate() {
    const steady_time End = Begin + Load.Length;
    while (!Events.empty() && Events.begin()->first < End) {
      Now = Events.begin()->first;
      auto Action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Action();
    }
    Result.Unanswered = static_cast<int>(Requests.size());
    Result.Floor = Floor.evaluate(Begin, End - CallerTimeout);
    return Result;
  }

private:
  using state = service_state<pool_scheduler>;
  static constexpr std::size_t Slots = 6;
  static constexpr std::size_t ServerQueue = 24;
  static constexpr std::size_t MaxAttempts = 2;
  static constexpr milliseconds Target{4'000};
  static constexpr milliseconds CallerTimeout{5'000};
  static constexpr milliseconds NetworkDelay{1};
  static constexpr milliseconds RetransmissionTime{1'000};
  /// Shares of single errors of healthy servers and of immediate failures of
  /// unhealthy ones.
  static constexpr double ErrorShare = 0.012;
  static constexpr double UnhealthyFailureRate = 0.75;

  struct request {
    std::size_t Entry = 0;
    steady_time Arrived;
    std::size_t Attempts = 0;
    std::vector<std::string> Avoid;
    attempt_target To;
    steady_time Started;
    bool Accepted = false;
    bool SlowReported = false;
    bool Connected = false;
  };
  /// An attempt at a server.
  struct job {
    request_id Id = 0;
    std::size_t Attempt = 0;
    bool operator==(const job &) const = default;
  };
  struct server {
    bool Unhealthy = false;
    bool Silent = false;
    /// Place in the pool, from 0 to 1.
    double Position = 0;
    std::size_t Running = 0;
    std::deque<job> Queue;
    /// Jobs that have a slot and are never finished.
    std::vector<job> Hanging;
  };

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

  void changeHealth(const std::string &Name) {
    if (Load.UnhealthyShare <= 0)
      return;
    constexpr double Cycle = 30;
    double Mean = Cycle * (Servers[Name].Unhealthy ? Load.UnhealthyShare
                                                   : 1 - Load.UnhealthyShare);
    at(exponential(Mean), [this, Name] {
      Servers[Name].Unhealthy = !Servers[Name].Unhealthy;
      changeHealth(Name);
    });
  }

  void silenceServers() {
    for (auto &[Name, Server] : Servers)
      if (chance(Load.SilentShare)) {
        Server.Silent = true;
        ++Result.Silent;
      }
  }

  void addFault(const simulated_fault &Fault) {
    for (const auto &[Name, Server] : Servers)
      if (isAffected(Server, Fault))
        Floor.addFault(Name, Begin + Fault.From,
                       Begin + Fault.From + Fault.For);
  }

  static bool isAffected(const server &Server, const simulated_fault &Fault) {
    return Server.Position >= Fault.FirstServer &&
           Server.Position < Fault.LastServer;
  }

  /// The fault that hits a request at the server now, if any.
  std::optional<server_fault> faultOf(const server &Server) {
    for (const simulated_fault &Fault : Load.Faults)
      if (Now >= Begin + Fault.From && Now < Begin + Fault.From + Fault.For &&
          isAffected(Server, Fault) && chance(Fault.Strength))
        return Fault.Kind;
    return std::nullopt;
  }

  void loseEntries() {
    for (std::size_t Index = Load.Entries - Load.LostEntries;
         Index < Load.Entries; ++Index)
      Lost[Index] = true;
    std::vector<request_id> Ended;
    for (const auto &[Id, Request] : Requests)
      if (Lost[Request.Entry])
        Ended.push_back(Id);
    for (request_id Id : Ended) {
      ++Result.Failed;
      remove(Id, false);
    }
  }

  bool isLossy(std::size_t Entry) const {
    return static_cast<double>(Entry) <
           Load.LossyEntries * static_cast<double>(Load.Entries);
  }

  void nextArrival() {
    auto Since = Now - Begin;
    bool Burst =
        Since >= Load.BurstFrom && Since < Load.BurstFrom + Load.BurstFor;
    at(exponential(1 / (Burst ? Load.BurstRate : Load.Rate)), [this] {
      // Requests that arrive later can't be answered within the simulation.
      if (Now - Begin < Load.Length - CallerTimeout)
        arrive();
      nextArrival();
    });
  }

  void arrive() {
    request_id Id = ++LastId;
    std::size_t LargeEntries = Load.Entries / 4;
    bool ToLargeEntry = chance(Load.ShareToLargeEntries);
    std::size_t Entry = std::uniform_int_distribution<std::size_t>(
        ToLargeEntry ? 0 : LargeEntries,
        (ToLargeEntry ? LargeEntries : Load.Entries) - 1)(Random);
    while (Lost[Entry])
      Entry = (Entry + 1) % Load.Entries;
    Requests[Id] = {Entry, Now, 0, {}, {}, {}, false, false, false};
    ++Result.Submitted;
    Floor.addRequest(Now);
    if (Load.Timeouts)
      at(CallerTimeout, [this, Id] { endAtTimeout(Id); });
    if (auto Dropped = Entries[Entry]->Scheduler.submit(waiting(Id), Now))
      reject(*Dropped);
    if (Requests.contains(Id))
      at(pool_scheduler::maxQueueTime(waiting(Id)),
         [this, Entry] { dispatch(Entry); });
    dispatch(Entry);
  }

  waiting_request waiting(request_id Id) {
    const request &Request = Requests.at(Id);
    waiting_request Waiting;
    Waiting.Id = Id;
    Waiting.Idempotent = Load.Idempotent;
    Waiting.Arrived = Request.Arrived;
    Waiting.Target = Target;
    Waiting.Deadline = Request.Arrived + CallerTimeout;
    Waiting.UsualTime = Entries[Request.Entry]->answerTimes(Kind).usual();
    Waiting.Avoid = Request.Avoid;
    return Waiting;
  }

  void reject(request_id Id) {
    ++Result.Rejected;
    Result.RejectedLate += Now - Requests.at(Id).Arrived > Target / 8 ? 1 : 0;
    remove(Id, false);
  }

  void remove(request_id Id, bool Served) {
    if (!Served)
      Floor.addUnserved(Requests.at(Id).Arrived);
    Requests.erase(Id);
  }

  void dispatch(std::size_t Index) {
    if (Lost[Index])
      return;
    state &Entry = *Entries[Index];
    Entry.expireRemoteWork(Now);
    for (const waiting_request &Late : Entry.Scheduler.takeExpired(Now))
      reject(Late.Id);
    while (auto Assignment = Entry.Scheduler.next(Now)) {
      request &Request = Requests.at(Assignment->Request);
      Request.To.Server = Assignment->Server;
      Request.To.SlotsUsed = Assignment->SlotsUsed;
      Request.To.Slots = Assignment->Slots;
      Request.Started = Now;
      Request.Accepted = false;
      Request.SlowReported = false;
      Request.Connected = false;
      ++Request.Attempts;
      Entry.recordUse(Assignment->Server, Now);
      job Job{Assignment->Request, Request.Attempts};
      at(FastFailureWindow, [this, Job] { assumeAccepted(Job); });
      if (Load.Timeouts)
        at(slowThreshold(Request), [this, Job] { reportSlow(Job); });
      bool Delayed = isLossy(Index) && chance(Load.Loss);
      at(Delayed ? RetransmissionTime : NetworkDelay,
         [this, Job] { arriveAtServer(Job); });
    }
  }

  /// The request, if this attempt of it is still running.
  request *find(const job &Job) {
    auto Found = Requests.find(Job.Id);
    return Found != Requests.end() && Found->second.Attempts == Job.Attempt &&
                   !Found->second.To.Server.empty()
               ? &Found->second
               : nullptr;
  }

  void assumeAccepted(const job &Job) {
    request *Request = find(Job);
    if (!Request)
      return;
    std::size_t Index = Request->Entry;
    if (!Request->Connected) {
      at(FastFailureWindow, [this, Job] { assumeAccepted(Job); });
      return;
    }
    Entries[Index]->recordReached(Request->To.Server, Now);
    if (state::mayAssumeAccepted(Request->To))
      accept(*Request);
    dispatch(Index);
  }

  steady_time::duration slowThreshold(const request &Request) {
    constexpr double SlowFactor = 2.5;
    return std::chrono::duration_cast<steady_time::duration>(
        Entries[Request.Entry]->answerTimes(Kind).usual() * SlowFactor *
        Request.To.queueingFactor());
  }

  void reportSlow(const job &Job) {
    request *Request = find(Job);
    if (!Request)
      return;
    state &Entry = *Entries[Request->Entry];
    Entry.recordSignal(Request->To.Server, attempt_signal::Slow, Now);
    Request->SlowReported = true;
    if (Load.Idempotent && Entry.Scheduler.isSlow(Request->To.Server, Now) &&
        Request->Attempts < MaxAttempts &&
        Entry.Scheduler.retries().available(rank::Normal)) {
      withdraw(Job);
      return finishAttempt(Job, error_kind::BackendTimeout);
    }
    at(slowThreshold(*Request), [this, Job] { reportSlow(Job); });
  }

  void endAtTimeout(request_id Id) {
    auto Found = Requests.find(Id);
    if (Found == Requests.end())
      return;
    std::size_t Index = Found->second.Entry;
    if (Found->second.To.Server.empty()) {
      Entries[Index]->Scheduler.cancel(Id);
      return reject(Id);
    }
    job Job{Id, Found->second.Attempts};
    withdraw(Job);
    Found->second.Attempts = MaxAttempts;
    finishAttempt({Id, MaxAttempts}, error_kind::BackendTimeout);
  }

  /// Ends the attempt at its server, as closing the connection does.
  void withdraw(const job &Job) {
    server &Server = Servers[Requests.at(Job.Id).To.Server];
    std::erase(Server.Queue, Job);
    if (std::erase(Server.Hanging, Job) > 0)
      startNext(Server);
  }

  void accept(request &Request) {
    if (!std::exchange(Request.Accepted, true))
      Entries[Request.Entry]->recordSignal(Request.To.Server,
                                           attempt_signal::Accepted, Now);
  }

  void arriveAtServer(const job &Job) {
    request *Request = find(Job);
    if (!Request)
      return;
    std::string Name = Request->To.Server;
    server &Server = Servers[Name];
    auto Fault = faultOf(Server);
    Request->Connected = Fault != server_fault::Unreachable;
    if (!Request->Connected) {
      at(NetworkDelay, [this, Job] {
        if (find(Job))
          finishAttempt(Job, error_kind::BackendUnreachable);
      });
      return;
    }
    Floor.addArrival(Name, Now);
    if (Server.Silent)
      return;
    if (Server.Running < Slots)
      startWork(Name, Job, Fault);
    else if (Server.Queue.size() < ServerQueue)
      Server.Queue.push_back(Job);
    else
      at(NetworkDelay, [this, Job] {
        if (find(Job))
          finishAttempt(Job, error_kind::BackendShed);
      });
  }

  void startWork(const std::string &Name, const job &Job,
                 std::optional<server_fault> Fault) {
    server &Server = Servers[Name];
    ++Server.Running;
    if (Fault == server_fault::Hang) {
      Server.Hanging.push_back(Job);
      return;
    }
    bool Fails = Server.Unhealthy && chance(UnhealthyFailureRate);
    double Work =
        std::lognormal_distribution<double>(std::log(0.44), 0.3)(Random);
    std::optional<error_kind> Failure;
    if (Fails || chance(ErrorShare) || Fault == server_fault::Errors)
      Failure = error_kind::BackendError;
    else if (Fault == server_fault::LostAnswers)
      Failure = error_kind::BackendCut;
    Fails = Fails || Fault == server_fault::Errors;
    at(std::chrono::duration_cast<steady_time::duration>(
           std::chrono::duration<double>(Fails ? 0.002 : Work)),
       [this, Job, Name, Failure] {
         server &At = Servers[Name];
         if (At.Silent)
           return;
         if (Failure)
           Floor.addFailure(Name, Now);
         startNext(At);
         if (find(Job))
           finishAttempt(Job, Failure);
       });
  }

  /// Frees a slot of the server and gives it to the next queued attempt.
  void startNext(server &Server) {
    --Server.Running;
    while (!Server.Queue.empty()) {
      job Next = Server.Queue.front();
      Server.Queue.pop_front();
      if (request *Queued = find(Next))
        return startWork(Queued->To.Server, Next, faultOf(Server));
    }
  }

  void finishAttempt(const job &Job, std::optional<error_kind> Failure) {
    request &Request = Requests.at(Job.Id);
    state &Entry = *Entries[Request.Entry];
    std::size_t Index = Request.Entry;
    Entry.Scheduler.release(Request.To.Server, rank::Normal, Now);
    Entry.recordUse(Request.To.Server, Now);
    if (Failure) {
      Entry.recordSignal(
          Request.To.Server,
          Entry.signalOf(*Failure, Kind, Request.To, Now - Request.Started),
          Now);
      fail(Job.Id, *Failure);
      return dispatch(Index);
    }
    accept(Request);
    if (!Request.SlowReported)
      Entry.recordSignal(Request.To.Server, attempt_signal::Good, Now);
    Entry.answerTimes(Kind).add(
        std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(Now - Request.Started) /
            Request.To.queueingFactor()),
        Now);
    ++(Now - Request.Arrived <= Target ? Result.InTime : Result.Late);
    remove(Job.Id, true);
    dispatch(Index);
  }

  void fail(request_id Id, error_kind Failure) {
    request &Request = Requests.at(Id);
    pool_scheduler &Scheduler = Entries[Request.Entry]->Scheduler;
    bool NotRun = Failure == error_kind::BackendShed ||
                  Failure == error_kind::BackendUnreachable;
    bool Allowed = Failure == error_kind::BackendUnreachable ||
                   Scheduler.retries().available(rank::Normal);
    if ((NotRun || Load.Idempotent) && Request.Attempts < MaxAttempts &&
        Allowed) {
      if (Failure != error_kind::BackendUnreachable)
        Scheduler.retries().take(rank::Normal);
      Request.Avoid.push_back(Request.To.Server);
      Request.To = {};
      return Scheduler.resubmit(waiting(Id), Now);
    }
    if (Failure == error_kind::BackendShed)
      return reject(Id);
    ++Result.Failed;
    remove(Id, false);
  }

  /// Sends the work reports of one entry to the others, as the traffic threads
  /// of the daemons do.
  void sendReports(std::size_t Index) {
    if (Lost[Index])
      return;
    state &Entry = *Entries[Index];
    if (Entry.Work.due(Now)) {
      work_report Report = Entry.Work.take("s", Now);
      at(NetworkDelay, [this, Index, Report] {
        for (std::size_t Other = 0; Other < Entries.size(); ++Other)
          if (Other != Index && !Lost[Other] && !isDatagramLost(Index, Other)) {
            for (const server_work &Work : Report.Servers)
              Entries[Other]->applyRemoteWork(std::to_string(Index), Work, Now);
            dispatch(Other);
          }
      });
    }
    at(milliseconds(5), [this, Index] { sendReports(Index); });
  }

  bool isDatagramLost(std::size_t From, std::size_t To) {
    return (isLossy(From) || isLossy(To)) && chance(Load.Loss);
  }

  const steady_time Begin{std::chrono::hours(1)};
  steady_time Now = Begin;
  simulated_load Load;
  std::mt19937_64 Random;
  service_definition Definition;
  work_kind Kind;
  std::map<std::string, server> Servers;
  std::vector<std::unique_ptr<state>> Entries;
  std::vector<bool> Lost;
  std::map<request_id, request> Requests;
  std::multimap<steady_time, std::function<void()>> Events;
  request_id LastId = 0;
  simulated_result Result;
  floor_check Floor;
};

/// Simulates the same load with several seeds, as the result of a single run
/// varies a lot.
inline simulated_result simulateSeeds(simulated_load Load) {
  constexpr std::uint64_t Seeds = 6;
  simulated_result Sum;
  for (Load.Seed = 1; Load.Seed <= Seeds; ++Load.Seed)
    Sum += simulated_fleet(Load).simulate();
  return Sum;
}

/// A burst of \p Rate requests per second for four seconds. Forty servers
/// answer 522 requests per second, and 365 while three tenths of them are
/// unhealthy.
inline simulated_load burst(double Rate) {
  simulated_load Load;
  Load.Length = std::chrono::seconds(18);
  Load.BurstFrom = std::chrono::seconds(4);
  Load.BurstFor = std::chrono::seconds(4);
  Load.BurstRate = Rate;
  return Load;
}

} // namespace endiverail::test
