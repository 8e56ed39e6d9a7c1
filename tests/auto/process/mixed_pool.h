#pragma once

#include "process/pool_scheduler.h"
#include "process/service_state.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endiverail::test {

/// What the simulated entries know of a request's cost.
enum class known_cost { UsualTime, Learned, Exact };

struct mixed_load {
  std::size_t Servers = 92;
  std::size_t Entries = 123;
  /// Requests per second.
  double ShortRate = 120;
  double LongRate = 200;
  /// Servers that work at a part of the others' speed.
  double SlowShare = 0.05;
  double SlowFactor = 3;
  steady_time::duration Length = std::chrono::seconds(34);
  /// Mean work of short and long requests, in milliseconds.
  std::array<double, 2> MeanWork{100, 1'300};
  milliseconds ShortTarget{1'000};
  bool SamplesServers = false;
  known_cost Known = known_cost::UsualTime;
  std::uint64_t Seed = 1;
};

struct mixed_result {
  struct kind {
    int Submitted = 0;
    int InTime = 0;
    int Rejected = 0;
    std::vector<double> Milliseconds;

    double inTime() const { return InTime / static_cast<double>(Submitted); }
    /// Of the answered requests.
    double percentile99() {
      auto Position = Milliseconds.begin() +
                      static_cast<std::ptrdiff_t>(
                          static_cast<double>(Milliseconds.size()) * 0.99);
      std::ranges::nth_element(Milliseconds, Position);
      return *Position;
    }
  };
  kind Short;
  kind Long;
};

/// Entries that share one pool with requests of two kinds: short ones of 100 ms
/// in the mean with a target of a second, and long ones of 1,300 ms with a
/// target of ten. One in a hundred takes seven times as long. The servers have
/// four slots and queue sixteen requests.
class mixed_pool {
public:
  explicit mixed_pool(const mixed_load &Load) : Load(Load), Random(Load.Seed) {
    Definition.Name = Definition.Pool = "s";
    Definition.QueueLimit = {400, 400, 400};
    Kinds[0].Name = "short";
    Kinds[0].LatencyTarget = Load.ShortTarget;
    Kinds[0].Rank = AllRanks[0];
    Kinds[1].Name = "long";
    Kinds[1].LatencyTarget = milliseconds(10'000);
    Kinds[1].Rank = AllRanks[1];
    std::vector<backend_server> Listed;
    for (std::size_t Index = 0; Index < Load.Servers; ++Index) {
      backend_server Entry;
      Entry.Address = "10.0.0." + std::to_string(Index) + ":1";
      Entry.Pool = "s";
      Entry.Slots = Slots;
      Listed.push_back(Entry);
      Servers[Entry.Address].Factor =
          chance(Load.SlowShare) ? Load.SlowFactor : 1;
    }
    for (std::size_t Index = 0; Index < Load.Entries; ++Index) {
      Entries.push_back(std::make_unique<state>(Definition, Index));
      pool_scheduler &Scheduler = Entries.back()->Scheduler;
      Scheduler.configure(Definition, Listed, Now);
      Scheduler.setTrialPartition({Index, Load.Entries});
      Scheduler.setPlacementMeasure(Load.Known == known_cost::UsualTime
                                        ? placement_measure::SlotsInUse
                                        : placement_measure::RemainingWork);
      Scheduler.setSamplesServers(Load.SamplesServers);
      Entries.back()->Work.setEntries(Load.Entries);
      sendReports(Index);
    }
    nextArrival(0, Load.ShortRate);
    if (Load.LongRate > 0)
      nextArrival(1, Load.LongRate);
  }

  mixed_result simulate() {
    while (!Events.empty() && Events.begin()->first < Begin + Load.Length) {
      Now = Events.begin()->first;
      auto Action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Action();
    }
    return std::move(Result);
  }

private:
  using state = service_state<pool_scheduler>;
  static constexpr std::size_t Slots = 4;
  static constexpr std::size_t ServerQueue = 16;
  static constexpr double TailShare = 0.01;
  static constexpr double TailFactor = 7;
  static constexpr double Deviation = 0.5;
  static constexpr milliseconds NetworkDelay{1};
  /// Requests that arrive later may not be answered before the end, those that
  /// arrive earlier meet entries that have learned nothing.
  static constexpr std::chrono::seconds Warming{10};
  static constexpr std::chrono::seconds LastArrivals{15};

  struct request {
    std::size_t Entry = 0;
    std::size_t Kind = 0;
    double Work = 0;
    steady_time Arrived;
    steady_time Started;
    attempt_target To;
    std::vector<std::string> Avoid;
  };
  struct server {
    double Factor = 1;
    std::size_t Running = 0;
    std::deque<request_id> Queue;
  };

  void at(steady_time::duration After, std::function<void()> Action) {
    Events.emplace(Now + After, std::move(Action));
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
  }
  static steady_time::duration duration(double Milliseconds) {
    return std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double, std::milli>(Milliseconds));
  }

  void nextArrival(std::size_t Kind, double Rate) {
    double Wait = std::exponential_distribution<double>(Rate / 1'000)(Random);
    at(duration(Wait), [this, Kind, Rate] {
      arrive(Kind);
      nextArrival(Kind, Rate);
    });
  }

  double drawWork(std::size_t Kind) {
    double Mean = Load.MeanWork[Kind] / (1 + TailShare * (TailFactor - 1));
    double Work = std::lognormal_distribution<double>(
        std::log(Mean) - Deviation * Deviation / 2, Deviation)(Random);
    return chance(TailShare) ? Work * TailFactor : Work;
  }

  mixed_result::kind *resultOf(const request &Request) {
    if (Request.Arrived < Begin + Warming ||
        Request.Arrived > Begin + Load.Length - LastArrivals)
      return nullptr;
    return Request.Kind == 0 ? &Result.Short : &Result.Long;
  }

  void arrive(std::size_t Kind) {
    request_id Id = ++LastId;
    std::size_t Entry =
        std::uniform_int_distribution<std::size_t>(0, Load.Entries - 1)(Random);
    Requests[Id] = {Entry, Kind, drawWork(Kind), Now, {}, {}, {}};
    if (auto *Counts = resultOf(Requests[Id]))
      ++Counts->Submitted;
    if (auto Dropped = Entries[Entry]->Scheduler.submit(waiting(Id), Now))
      reject(*Dropped);
    if (Requests.contains(Id))
      at(pool_scheduler::maxQueueTime(waiting(Id)),
         [this, Entry] { dispatch(Entry); });
    dispatch(Entry);
  }

  request_traits traitsOf(const request &Request) const {
    const work_kind &Kind = Kinds[Request.Kind];
    return {Kind.Name, "GET", "/", 0, "", Kind.LatencyTarget};
  }

  static cost_estimate exactly(double Milliseconds) {
    cost_curve Curve;
    Curve.Mean = Curve.Percentile95 = Milliseconds;
    Curve.MeanSquare = Milliseconds * Milliseconds;
    for (std::size_t Index = 0; Index < Curve.Remaining.size(); ++Index)
      Curve.Remaining[Index] =
          std::max(1.0, Milliseconds - cost_scale::timeOf(Index));
    return {std::make_shared<const cost_curve>(Curve)};
  }

  waiting_request waiting(request_id Id) {
    const request &Request = Requests.at(Id);
    const work_kind &Kind = Kinds[Request.Kind];
    state &Entry = *Entries[Request.Entry];
    waiting_request Waiting;
    Waiting.Id = Id;
    Waiting.Rank = Kind.Rank;
    Waiting.Arrived = Request.Arrived;
    Waiting.Target = Kind.LatencyTarget;
    Waiting.Deadline = Request.Arrived + 3 * Kind.LatencyTarget;
    Waiting.UsualTime = Entry.answerTimes(Kind).usual();
    Waiting.Avoid = Request.Avoid;
    if (Load.Known == known_cost::Learned)
      Waiting.Cost = Entry.Costs.estimate(traitsOf(Request));
    else if (Load.Known == known_cost::Exact)
      Waiting.Cost = exactly(Request.Work);
    return Waiting;
  }

  void reject(request_id Id) {
    if (auto *Counts = resultOf(Requests.at(Id)))
      ++Counts->Rejected;
    Requests.erase(Id);
  }

  void dispatch(std::size_t Index) {
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
      Entry.recordUse(Assignment->Server, Now);
      request_id Id = Assignment->Request;
      at(FastFailureWindow, [this, Id] { assumeAccepted(Id); });
      at(NetworkDelay, [this, Id] { arriveAtServer(Id); });
    }
  }

  void assumeAccepted(request_id Id) {
    auto Found = Requests.find(Id);
    if (Found == Requests.end() || Found->second.To.Server.empty())
      return;
    std::size_t Index = Found->second.Entry;
    Entries[Index]->recordReached(Found->second.To.Server, Now);
    dispatch(Index);
  }

  void arriveAtServer(request_id Id) {
    server &Server = Servers[Requests.at(Id).To.Server];
    if (Server.Running < Slots)
      startWork(Server, Id);
    else if (Server.Queue.size() < ServerQueue)
      Server.Queue.push_back(Id);
    else
      at(NetworkDelay, [this, Id] { shed(Id); });
  }

  void startWork(server &Server, request_id Id) {
    ++Server.Running;
    at(duration(Requests.at(Id).Work * Server.Factor), [this, &Server, Id] {
      --Server.Running;
      if (!Server.Queue.empty()) {
        request_id Next = Server.Queue.front();
        Server.Queue.pop_front();
        startWork(Server, Next);
      }
      answer(Id);
    });
  }

  void releaseSlot(state &Entry, const request &Request, request_id Id) {
    Entry.Scheduler.release(Request.To.Server, Kinds[Request.Kind].Rank, Now);
    Entry.recordWorkEnd(Request.To.Server, Id);
    Entry.recordUse(Request.To.Server, Now);
  }

  void shed(request_id Id) {
    request &Request = Requests.at(Id);
    state &Entry = *Entries[Request.Entry];
    std::size_t Index = Request.Entry;
    releaseSlot(Entry, Request, Id);
    Entry.recordSignal(Request.To.Server, attempt_signal::Shed, Now);
    if (Request.Avoid.empty()) {
      Request.Avoid.push_back(Request.To.Server);
      Request.To = {};
      Entry.Scheduler.resubmit(waiting(Id), Now);
    } else {
      reject(Id);
    }
    dispatch(Index);
  }

  void answer(request_id Id) {
    request &Request = Requests.at(Id);
    state &Entry = *Entries[Request.Entry];
    std::size_t Index = Request.Entry;
    releaseSlot(Entry, Request, Id);
    Entry.recordSignal(Request.To.Server, attempt_signal::Accepted, Now);
    Entry.recordSignal(Request.To.Server, attempt_signal::Good, Now);
    auto Work = std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(Now - Request.Started) /
        Request.To.queueingFactor());
    Entry.answerTimes(Kinds[Request.Kind]).add(Work, Now);
    Entry.Costs.recordAnswer(traitsOf(Request), Work);
    if (auto *Counts = resultOf(Request)) {
      Counts->InTime +=
          Now - Request.Arrived <= Kinds[Request.Kind].LatencyTarget ? 1 : 0;
      Counts->Milliseconds.push_back(
          std::chrono::duration<double, std::milli>(Now - Request.Arrived)
              .count());
    }
    Requests.erase(Id);
    dispatch(Index);
  }

  /// Sends the work reports of one entry to the others, as the traffic threads
  /// of the daemons do.
  void sendReports(std::size_t Index) {
    state &Entry = *Entries[Index];
    if (Entry.Work.due(Now)) {
      work_report Report = Entry.Work.take("s", Now);
      at(NetworkDelay, [this, Index, Report] {
        for (std::size_t Other = 0; Other < Entries.size(); ++Other)
          if (Other != Index) {
            for (const server_work &Work : Report.Servers)
              Entries[Other]->applyRemoteWork(std::to_string(Index), Work, Now);
            dispatch(Other);
          }
      });
    }
    at(milliseconds(10), [this, Index] { sendReports(Index); });
  }

  const steady_time Begin{std::chrono::hours(1)};
  steady_time Now = Begin;
  mixed_load Load;
  std::mt19937_64 Random;
  service_definition Definition;
  std::array<work_kind, 2> Kinds;
  std::map<std::string, server> Servers;
  std::vector<std::unique_ptr<state>> Entries;
  std::map<request_id, request> Requests;
  std::multimap<steady_time, std::function<void()>> Events;
  request_id LastId = 0;
  mixed_result Result;
};

} // namespace endiverail::test
