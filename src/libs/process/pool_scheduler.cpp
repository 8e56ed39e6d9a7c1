#include "process/pool_scheduler.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// Cost of a failed request, relative to one that waits for its whole target
/// time. A retryable request loses the time of one attempt; a request that the
/// server sheds loses less.
constexpr double FailureCost = 1.5;
constexpr double RetryableFailureCost = 0.5;
constexpr double ShedCost = 0.3;
constexpr double SlowCost = 1;
/// Spreads requests across servers while none of them is full.
constexpr double LoadCost = 0.05;
/// Traffic between data centres is expensive, but leaving a free slot unused
/// costs more.
constexpr double OtherDataCentreCost = 0.05;
constexpr double MaxTieBreak = 0.01;
/// Share of the target time that the expected duration of a request may take
/// up.
constexpr double MaxTargetShare = 0.85;
/// Ratio of the duration of a slow answer to the usual duration.
constexpr double SlowAnswerFactor = 1.6;
/// Minimum and maximum number of requests queued at a server, as a share of its
/// slots, as far as they are answered in time. Entries learn of slots in use
/// about 100 ms late, so that servers with shorter queues run out of work. A
/// server's own queue holds four times its slots.
constexpr double MinQueueShare = 0.34;
constexpr double MaxQueueShare = 3;
/// Share of the time for which short requests may be queued that the queue of
/// a server may take up when a long request joins it.
constexpr double LongQueueShare = 0.5;
/// Number of servers that a request placed by remaining work is compared at.
constexpr std::ptrdiff_t SampledServers = 2;
/// A request that may not be retried stays queued rather than being sent to a
/// server with a higher failure probability. A server of which nothing is known
/// is below this limit.
constexpr double MaxRiskWhileWaiting = 0.45;
/// Requests per slot of a server that all entries together may start before the
/// first of them is known to be accepted: twice what the server can run.
constexpr std::size_t UnconfirmedStartsPerSlot = 2;
/// Lower bound for the rate of request starts, per second, that is assumed when
/// few starts have been observed.
constexpr double MinStartRate = 4;
/// Share of a request's maximum queue time that the requests ahead of it may
/// be expected to take.
constexpr double MaxBacklogShare = 0.6;
/// How long a server that has shed a request for lack of capacity is limited to
/// the load that it had then.
constexpr milliseconds FullServerBackoff{300};
/// A server runs at about half its speed during its cold start.
constexpr std::size_t ColdDivisor = 2;
/// A server whose last request failed gets no requests, except for trials while
/// it is idle, as long as its failure probability is above this limit. Below
/// it, one request at a time is sent to find out whether it has recovered.
constexpr double UnhealthyThreshold = 0.5;
/// Maximum share of a pool's servers that may be excluded for failing. When the
/// whole pool fails, using all of it serves more callers than using none.
constexpr double MaxExcludedShare = 0.8;
/// A request for which no server has capacity is queued for at least the target
/// time divided by this number, even if the pool's usual answer time leaves no
/// time for queueing.
constexpr int MinQueueTimeDivisor = 8;
/// A server without new requests for this long is idle, or earlier by up to
/// MaxTrialLead when there are few requests. The requirements count servers
/// that get nothing for two seconds; the difference allows for the next request
/// of an entry that may try the server, and for one that is lost on its way.
constexpr milliseconds IdleAfter{1'700};
constexpr milliseconds MaxTrialLead{200};
/// Reports of other entries that are taken up within this time are in the
/// difference above.
constexpr milliseconds ToleratedReportDelay{100};
/// A request that has not reached its server after this time may be lost on the
/// way. Covers the report of its arrival to the other entries.
constexpr milliseconds ArrivalTimeout{150};
/// Time in which each entry is entitled once to try an idle server. At any
/// time, as many entries are entitled as it takes to get this number of
/// requests in that time: an entry may get its next request only after seconds.
constexpr milliseconds TrialRound{300};
constexpr double RequestsPerTrialRound = 6;
/// The turns of the entries grow by the time without a trial divided by this
/// number.
constexpr int TurnGrowthDivisor = 4;
/// The other entries leave a trial to the entry that owns it for the time in
/// which it gets this number of requests, unless that takes too long.
constexpr double OwnerRequests = 3;
constexpr milliseconds MaxOwnerTime{200};
/// Maximum share of the healthy servers that may be idle. At least seven tenths
/// of them have to be in use while many requests fail, and when that will
/// happen can't be predicted.
constexpr double MaxIdleShare = 0.2;
/// In pools of more than twenty servers the share may come closer to the
/// required limit, as the uncertainty about single servers averages out.
constexpr double MaxIdleShareOfLargePool = 0.27;
constexpr double LargePoolReserve = 1.4;
/// While many requests fail, the required share applies to servers that this
/// process can't tell from the others, so that nearly all servers are kept in
/// use. The same limit holds for requests that lose only time with a failed
/// trial.
constexpr double MaxIdleShareUnderFailures = 0.08;
/// Share of failed requests above which the limit for high failure rates
/// applies: half of what the requirements allow. On normal days two or three
/// requests in a hundred fail.
constexpr double HighFailureShare = 0.05;
/// A server counts as healthy again this long after its last failed request.
constexpr milliseconds HealthyAfter{2'000};
/// Weight of the queueing time at a server: probability and cost of a failure
/// while the request is queued and runs.
constexpr double WaitCost = 1.5;
/// Longest time for which a server's request to be sent nothing applies. A new
/// incarnation of the server is not bound by it.
constexpr milliseconds MaxPause{3'600'000};
constexpr milliseconds MinRetryDelay{200};
/// Callers wait for at most a third of their time before they retry.
constexpr milliseconds MaxRetryDelay{1'600};

double inMilliseconds(milliseconds Time) {
  return static_cast<double>(Time.count());
}

} // namespace

pool_scheduler::pool_scheduler(const service_definition &Definition,
                               std::uint64_t Seed)
    : Definition(Definition), Random(Seed) {
  for (std::size_t Index = 0; Index < PrecedenceCount; ++Index)
    Queues.emplace_back(Definition.QueueLimit[Index % RankCount]);
}

void pool_scheduler::configure(const service_definition &NewDefinition,
                               std::span<const backend_server> Listed,
                               steady_time Now) {
  Definition = NewDefinition;
  for (std::size_t Index = 0; Index < PrecedenceCount; ++Index)
    Queues[Index].setLimit(Definition.QueueLimit[Index % RankCount]);
  for (pooled_server &Server : Servers)
    if (std::exchange(Server.Delisted, true))
      Server.Leaving = false;
  for (const backend_server &Entry : Listed) {
    pooled_server *Known = find(Entry.Address);
    if (!Known) {
      Positions.emplace(Entry.Address, Servers.size());
      Known = &Servers.emplace_back();
      Known->LastUsed = Now;
      if (!PoolKnown)
        Known->Health = health_estimator::unknown();
    } else if (Known->Instance != Entry.Instance ||
               Known->Started != Entry.Started) {
      std::size_t StillRunning = Known->InUse;
      *Known = pooled_server{};
      Known->InUse = StillRunning;
      Known->LastUsed = Now;
    }
    Known->Address = Entry.Address;
    Known->Instance = Entry.Instance;
    Known->Started = Entry.Started;
    Known->Delisted = false;
    Known->DataCentre = Entry.DataCentre;
    Known->Leaving =
        Known->Leaving || Entry.State == server_state::Leaving ||
        hasAnnouncedLeaving(Entry.Address, Entry.Instance, Entry.Started);
    Known->Slots = std::max<std::size_t>(
        1, Entry.Slots != 0 ? Entry.Slots : Definition.SlotsPerServer);
    Known->ColdUntil = Entry.ColdUntil;
  }
  PoolKnown = PoolKnown || !Servers.empty();
  removeDelisted(Now);
}

/// A server that is listed again is still bound by the pause it asked for.
void pool_scheduler::removeDelisted(steady_time Now) {
  auto Removed = std::erase_if(Servers, [&](const pooled_server &Server) {
    return Server.Delisted && Server.InUse == 0 && !Server.isPaused(Now);
  });
  if (Removed == 0)
    return;
  Positions.clear();
  for (std::size_t Position = 0; Position < Servers.size(); ++Position)
    Positions.emplace(Servers[Position].Address, Position);
}

milliseconds pool_scheduler::maxQueueTime(const waiting_request &Request) {
  auto MaxTime = std::chrono::duration_cast<milliseconds>(
      Request.Target * MaxTargetShare - Request.UsualTime * SlowAnswerFactor);
  return std::max(Request.Target / MinQueueTimeDivisor, MaxTime);
}

/// Returns whether more requests are ahead than can start in time, so that the
/// request would only be rejected later.
bool pool_scheduler::isBacklogged(const waiting_request &Request,
                                  std::size_t Ahead, steady_time Now) const {
  double Rate = std::max(MinStartRate, StartRate.perSecond(Now));
  double QueueTime =
      std::chrono::duration<double>(maxQueueTime(Request)).count();
  return static_cast<double>(Ahead) > Rate * QueueTime * MaxBacklogShare;
}

/// Returns whether the request's organisation has exceeded its share and has
/// more requests queued than start at its own pace before a refusal is late.
bool pool_scheduler::isFlooding(const waiting_request &Request,
                                steady_time Now) const {
  if (!Shares.exceedsShare(Request.Organisation, Request.OrganisationWeight,
                           Now))
    return false;
  double Rate = Shares.startsPerSecond(Request.Organisation, Now);
  double QueueTime =
      std::chrono::duration<double>(Request.Target / MinQueueTimeDivisor)
          .count();
  const rank_queue &Queue = Queues[Request.precedenceOf().index()];
  return static_cast<double>(Queue.count(Request.Organisation)) >
         Rate * QueueTime * MaxBacklogShare;
}

/// Number of queued requests that are served before the given one, if it is
/// queued now.
std::size_t
pool_scheduler::requestsAhead(const waiting_request &Request) const {
  std::size_t Own = Request.precedenceOf().index();
  auto Urgent = Queues | std::views::take(Own) | std::views::common;
  return std::transform_reduce(Urgent.begin(), Urgent.end(),
                               Queues[Own].ahead(Request.Organisation),
                               std::plus{}, std::mem_fn(&rank_queue::size));
}

/// Removes the request that would be served last, if it can't start in time any
/// more because of one that has been added: one that is less urgent, or of an
/// organisation with more queued requests.
std::optional<request_id>
pool_scheduler::takeDisplaced(const waiting_request &Added, steady_time Now) {
  auto Own = static_cast<std::ptrdiff_t>(Added.precedenceOf().index());
  auto LeastUrgentFirst =
      std::ranges::subrange(Queues.begin() + Own, Queues.end()) |
      std::views::reverse;
  auto Last = std::ranges::find_if_not(LeastUrgentFirst, &rank_queue::empty);
  const waiting_request *Displaced = Last->last(Now);
  if (Displaced->precedenceOf() == Added.precedenceOf() &&
      Displaced->Organisation == Added.Organisation)
    return std::nullopt;
  if (!isBacklogged(*Displaced, requestsAhead(*Displaced) - 1, Now))
    return std::nullopt;
  request_id Id = Displaced->Id;
  Last->remove(Id);
  return Id;
}

std::optional<request_id> pool_scheduler::submit(waiting_request Request,
                                                 steady_time Now) {
  Retries.onRequest(Request.precedenceOf());
  if (isBacklogged(Request, requestsAhead(Request), Now) ||
      isFlooding(Request, Now))
    return Request.Id;
  // The queue expires a request when its usual time no longer fits before the
  // deadline.
  Request.Deadline = std::min(Request.Deadline,
                              Now + maxQueueTime(Request) + Request.UsualTime);
  if (!canStartInTime(Request, Now))
    return Request.Id;
  rank_queue &Queue = Queues[Request.precedenceOf().index()];
  if (auto Dropped = Queue.push(Request, Now))
    return Dropped->Id;
  return takeDisplaced(Request, Now);
}

void pool_scheduler::resubmit(waiting_request Request, steady_time Now) {
  Request.Deadline = std::min(Request.Deadline,
                              Now + maxQueueTime(Request) + Request.UsualTime);
  rank_queue &Queue = Queues[Request.precedenceOf().index()];
  Queue.pushFront(std::move(Request));
}

/// Returns whether the request can be answered in time although servers are
/// paused.
bool pool_scheduler::canStartInTime(const waiting_request &Request,
                                    steady_time Now) const {
  auto Usable = Servers | std::views::filter(&pooled_server::usable);
  auto StartsAfterPause = [&](const pooled_server &Server) {
    return std::max(Now, Server.PausedUntil) <
           Request.Deadline - Request.UsualTime;
  };
  auto IsAllowed = [&](const pooled_server &Server) {
    return std::ranges::find(Request.Avoid, Server.Address) ==
           Request.Avoid.end();
  };
  return std::ranges::any_of(Usable,
                             [&](const pooled_server &Server) {
                               return IsAllowed(Server) &&
                                      StartsAfterPause(Server);
                             }) ||
         std::ranges::none_of(Usable, [&](const pooled_server &Server) {
           return Server.isPaused(Now);
         });
}

bool pool_scheduler::mostAreFailing(steady_time Now) const {
  auto IsUsed = [&](const pooled_server &Server) {
    return Server.usable() && !Server.isPaused(Now);
  };
  auto Usable = std::ranges::count_if(Servers, IsUsed);
  auto Failing =
      std::ranges::count_if(Servers, [&](const pooled_server &Server) {
        return IsUsed(Server) && Server.Failing;
      });
  return static_cast<double>(Failing) >
         MaxExcludedShare * static_cast<double>(Usable);
}

bool pool_scheduler::placesByWork(const waiting_request &Request) const {
  return Placement == placement_measure::RemainingWork &&
         Request.Cost.known() && PoolWork.isMixed();
}

double pool_scheduler::timeLeftPerRequest(const waiting_request &Request,
                                          const pooled_server &Server,
                                          steady_time Now) const {
  if (!placesByWork(Request) || Server.used() == 0)
    return std::max(1.0, inMilliseconds(Request.UsualTime));
  auto Used = static_cast<double>(Server.used());
  // Of the requests placed by others, as many as exceed the slots have not
  // begun.
  double QueuedShare =
      std::max(0.0, 1 - static_cast<double>(Server.Slots) / Used);
  double PerUnknown = QueuedShare * PoolWork.mean() +
                      (1 - QueuedShare) * PoolWork.meanRemaining();
  auto Unknown =
      Used - static_cast<double>(std::min(Server.Work.size(), Server.InUse));
  return std::max(1.0,
                  (Server.Work.remaining(Now) + Unknown * PerUnknown) / Used);
}

double pool_scheduler::expectedWait(const waiting_request &Request,
                                    const pooled_server &Server,
                                    steady_time Now) const {
  auto Slots = static_cast<double>(Server.Slots);
  auto Used = static_cast<double>(Server.used());
  return std::max(0.0, Used + 1 - Slots) / Slots *
         timeLeftPerRequest(Request, Server, Now);
}

double pool_scheduler::maxWait(const waiting_request &Request,
                               steady_time Now) const {
  double Own =
      inMilliseconds(Request.Target) * MaxTargetShare -
      SlowAnswerFactor * std::max(1.0, inMilliseconds(Request.UsualTime));
  // A long request with much time left would fill the queues of the servers
  // with work that short ones can't wait for. It waits here instead, but for
  // no more than half of its time.
  bool GivesWay = placesByWork(Request) &&
                  Request.Cost.mean() > PoolWork.mean() &&
                  Now < Request.Arrived + maxQueueTime(Request) / 2;
  return GivesWay ? std::min(Own, PoolWork.slackOfShort() * LongQueueShare)
                  : Own;
}

std::size_t pool_scheduler::capacityFor(const waiting_request &Request,
                                        const pooled_server &Server,
                                        steady_time Now) const {
  auto Slots = static_cast<double>(Server.Slots);
  if (Now < Server.ColdUntil)
    Slots = std::max(1.0, Slots / ColdDivisor);
  double Queued = std::clamp(
      maxWait(Request, Now) / timeLeftPerRequest(Request, Server, Now) * Slots,
      Slots * MinQueueShare, Slots * MaxQueueShare);
  auto Capacity = static_cast<std::size_t>(Slots + Queued);
  return Now < Server.FullUntil ? std::min(Capacity, Server.FullLimit)
                                : Capacity;
}

double pool_scheduler::costOf(const waiting_request &Request,
                              const pooled_server &Server,
                              steady_time Now) const {
  auto Slots = static_cast<double>(Server.Slots);
  auto Used = static_cast<double>(Server.used());
  double Wait = expectedWait(Request, Server, Now);
  double Target = std::max(1.0, inMilliseconds(Request.Target));
  double Cost = Server.Health.unhealthyProbability(Now) *
                    (mayRetry(Request) ? RetryableFailureCost : FailureCost) +
                Server.Shedding.unhealthyProbability(Now) * ShedCost +
                Server.Slowness.unhealthyProbability(Now) * SlowCost +
                WaitCost * Wait / Target + Used / Slots * LoadCost;
  if (Request.Bulk && Server.DataCentre != DataCentre)
    Cost += OtherDataCentreCost;
  return Cost;
}

/// Number of requests that this process sends to a server before the first of
/// them is known to be accepted. All entries together can fill the slots of the
/// server, while a server that fails requests immediately, and so always has
/// capacity, attracts no more than that.
std::size_t
pool_scheduler::maxUnconfirmedStarts(const pooled_server &Server) const {
  return std::max<std::size_t>(
      1, UnconfirmedStartsPerSlot * Server.Slots /
             std::max<std::size_t>(1, TrialPartition.Entries));
}

bool pool_scheduler::awaitsConfirmation(const pooled_server &Server,
                                        steady_time Now) const {
  return Server.RecentStarts >= maxUnconfirmedStarts(Server) &&
         Now < Server.RecentStartsSince + FastFailureWindow;
}

/// Returns whether a failure costs the request no more than the time of another
/// attempt.
bool pool_scheduler::mayRetry(const waiting_request &Request) const {
  return Request.Idempotent && Request.Avoid.empty() &&
         Retries.available(retry_claim{Request.precedenceOf()});
}

/// Returns why the request can't be sent to the server now, if so.
std::optional<idle_reason>
pool_scheduler::obstacleTo(const waiting_request &Request,
                           const pooled_server &Server, steady_time Now) const {
  if (Server.isPaused(Now))
    return idle_reason::Paused;
  if (!isReachable(Server, Now))
    return idle_reason::Unreachable;
  std::size_t Capacity = capacityFor(Request, Server, Now);
  // Requests are queued at a server in the order of their arrival: those of a
  // flood would delay the others, and less urgent ones those that wait here.
  if (MoreUrgentWaiting || Shares.exceedsShare(Request.Organisation,
                                               Request.OrganisationWeight, Now))
    Capacity = std::min(Capacity, Server.Slots);
  if (Server.used() >= Capacity)
    return Server.InUse >= Capacity ? idle_reason::FullLocally
                                    : idle_reason::FullRemotely;
  if (awaitsConfirmation(Server, Now))
    return idle_reason::Unconfirmed;
  if (std::ranges::find(Request.Avoid, Server.Address) != Request.Avoid.end())
    return idle_reason::Avoided;
  return std::nullopt;
}

bool pool_scheduler::canAccept(const waiting_request &Request,
                               const pooled_server &Server,
                               steady_time Now) const {
  return !obstacleTo(Request, Server, Now);
}

bool pool_scheduler::isReachable(const pooled_server &Server,
                                 steady_time Now) const {
  return Server.usable() &&
         Server.Path.unhealthyProbability(Now) < UnhealthyThreshold;
}

bool pool_scheduler::isAvailable(const pooled_server &Server,
                                 steady_time Now) const {
  return isReachable(Server, Now) && !Server.isPaused(Now);
}

/// Returns whether the requirements count the server among those that have to
/// be in use.
bool pool_scheduler::countsAsHealthy(const pooled_server &Server,
                                     steady_time Now) const {
  return isAvailable(Server, Now) &&
         (!Server.LastFailed || Now > *Server.LastFailed + HealthyAfter);
}

/// Maximum number of idle servers before this request has to try one of them.
double pool_scheduler::maxIdleServers(const waiting_request &Request,
                                      std::ptrdiff_t Healthy,
                                      steady_time Now) const {
  auto Count = static_cast<double>(Healthy);
  if (mayRetry(Request) || manyFail(Now))
    return MaxIdleShareUnderFailures * Count;
  return std::max(MaxIdleShare * Count,
                  MaxIdleShareOfLargePool * Count - LargePoolReserve);
}

/// Position of this entry among those that try the server while it is idle.
std::size_t pool_scheduler::trialTurn(const pooled_server &Server) const {
  return (stableHash(Server.Address) + TrialPartition.Index) %
         TrialPartition.Entries;
}

bool pool_scheduler::ownsTrialOf(const pooled_server &Server) const {
  return TrialPartition.Index < TrialPartition.Entries &&
         trialTurn(Server) == 0;
}

/// How long a server has to be without requests to be idle.
milliseconds pool_scheduler::idleTime(steady_time Now) const {
  if (TrialPartition.Entries <= 1)
    return IdleAfter;
  milliseconds Unheard =
      ReportDelay < ToleratedReportDelay ? milliseconds(0) : ReportDelay;
  double Rate = std::max(1.0, StartRate.perSecond(Now));
  auto Lead = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(1 / Rate));
  return IdleAfter - std::min(Lead, MaxTrialLead) + Unheard;
}

/// Returns whether it is this entry's turn to try a server that needs a trial
/// since \p Since.
bool pool_scheduler::isTrialDue(const pooled_server &Server, steady_time Since,
                                steady_time Now) const {
  if (Now < Since)
    return false;
  auto OwnerTime =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
          OwnerRequests / std::max(1.0, StartRate.perSecond(Now))));
  if (Now < Since + OwnerTime && OwnerTime <= MaxOwnerTime)
    return ownsTrialOf(Server);
  steady_time::duration Round = TrialRound;
  auto Begin = Round * static_cast<std::int64_t>(trialTurn(Server)) /
               static_cast<std::int64_t>(TrialPartition.Entries);
  auto Elapsed = Now - Since;
  auto Length =
      trialTurnLength(Now) + std::min(Elapsed, Round) / TurnGrowthDivisor;
  return Elapsed >= Begin && (Elapsed - Begin) % Round < Length;
}

/// How long an entry is entitled to try an idle server in each round.
steady_time::duration pool_scheduler::trialTurnLength(steady_time Now) const {
  steady_time::duration Round = TrialRound;
  auto Length = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double>(
          RequestsPerTrialRound /
          std::max(1.0, PoolFailures.requestsPerSecond(Now))));
  return std::clamp(
      Length, Round / static_cast<std::int64_t>(TrialPartition.Entries), Round);
}

/// Records for each idle server why the request is not sent to it, in case it
/// isn't.
void pool_scheduler::recordNotTried(const waiting_request &Request,
                                    bool TooMany, steady_time Now) {
  auto Reason = [&](const pooled_server &Server) {
    if (auto Obstacle = obstacleTo(Request, Server, Now))
      return *Obstacle;
    if (Now < Server.PendingUntil)
      return idle_reason::Pending;
    return TooMany ? idle_reason::OtherEntry : idle_reason::WithinLimit;
  };
  for (pooled_server &Server : Servers) {
    if (!Server.usable() || Now < Server.LastUsed + idleTime(Now))
      continue;
    Server.NotTried = Reason(Server);
    Server.NotTriedAt = Now;
  }
}

bool pool_scheduler::manyFail(steady_time Now) const {
  return PoolFailures.exceeds(HighFailureShare, Now);
}

/// Returns one of the idle servers that no proxy has used yet, or one of those
/// with the lowest failure probability when more servers are idle than allowed.
pool_scheduler::pooled_server *
pool_scheduler::chooseIdleServer(const waiting_request &Request,
                                 steady_time Now) {
  milliseconds IdleTime = idleTime(Now);
  auto IdleSince = [&](const pooled_server *Server) {
    return Server->LastUsed + IdleTime;
  };
  std::vector<pooled_server *> Idle;
  std::vector<pooled_server *> Due;
  for (pooled_server &Server : Servers) {
    if (!isAvailable(Server, Now) || Now < IdleSince(&Server) ||
        Now < Server.PendingUntil)
      continue;
    Idle.push_back(&Server);
    if (Server.NeverUsed && canAccept(Request, Server, Now) &&
        isTrialDue(Server, IdleSince(&Server), Now))
      Due.push_back(&Server);
  }
  auto Healthy =
      std::ranges::count_if(Servers, [&](const pooled_server &Server) {
        return countsAsHealthy(Server, Now);
      });
  IdleLimit = maxIdleServers(Request, Healthy, Now);
  auto Allowed = static_cast<std::size_t>(IdleLimit);
  bool TooMany = Idle.size() > Allowed;
  recordNotTried(Request, TooMany, Now);
  if (Due.empty() && TooMany) {
    auto FirstExcess = Idle.begin() + static_cast<std::ptrdiff_t>(Allowed);
    std::ranges::nth_element(Idle, FirstExcess, {}, IdleSince);
    steady_time Since = IdleSince(*FirstExcess);
    std::size_t Excess = Idle.size() - Allowed;
    std::erase_if(Idle, [&](const pooled_server *Server) {
      return !canAccept(Request, *Server, Now);
    });
    std::ranges::stable_sort(Idle, {}, [&](const pooled_server *Server) {
      return Server->Health.unhealthyProbability(Now);
    });
    Idle.resize(std::min(Idle.size(), Excess));
    std::ranges::copy_if(
        Idle, std::back_inserter(Due), [&](const pooled_server *Server) {
          return isTrialDue(*Server, std::max(Since, IdleSince(Server)), Now);
        });
  }
  if (Due.empty())
    return nullptr;
  // Entries with the same information choose different servers, but none that
  // is probably unhealthy while there are others.
  auto Unhealthy = std::ranges::partition(Due, [&](const pooled_server *Each) {
    return Each->Health.unhealthyProbability(Now) <= UnhealthyThreshold;
  });
  auto Choices = Due.size() - Unhealthy.size();
  std::uniform_int_distribution<std::size_t> Position(
      0, (Choices > 0 ? Choices : Due.size()) - 1);
  return Due[Position(Random)];
}

pool_scheduler::pooled_server *
pool_scheduler::chooseServer(const waiting_request &Request, steady_time Now) {
  if (pooled_server *Idle = chooseIdleServer(Request, Now))
    return Idle;
  std::uniform_real_distribution<double> TieBreak(0, MaxTieBreak);
  bool ExcludeFailing = !mostAreFailing(Now);
  bool PrefersWaiting = ExcludeFailing && !mayRetry(Request) &&
                        Now < Request.Arrived + maxQueueTime(Request) / 2;
  std::vector<choice> Choices;
  for (pooled_server &Server : Servers) {
    if (!canAccept(Request, Server, Now))
      continue;
    if (ExcludeFailing && Server.Failing &&
        (Server.used() > 0 ||
         Server.Health.unhealthyProbability(Now) > UnhealthyThreshold ||
         !ownsTrialOf(Server)))
      continue;
    if (PrefersWaiting &&
        Server.Health.unhealthyProbability(Now) > MaxRiskWhileWaiting)
      continue;
    Choices.push_back(
        {&Server, costOf(Request, Server, Now) + TieBreak(Random)});
  }
  if (SamplesServers || placesByWork(Request))
    Choices = sampleChoices(Request, std::move(Choices), Now);
  auto Best = std::ranges::min_element(Choices, {}, &choice::Cost);
  return Best == Choices.end() ? nullptr : Best->Server;
}

/// Entries that place many requests between two reports of each other would
/// all choose the server that had the least work left. Each compares two of the
/// servers that are probably sound, and two elsewhere for bulk work.
std::vector<pool_scheduler::choice>
pool_scheduler::sampleChoices(const waiting_request &Request,
                              std::vector<choice> Choices, steady_time Now) {
  auto Unsound = std::ranges::partition(Choices, [&](const choice &Each) {
    return Each.Server->Health.unhealthyProbability(Now) <=
               UnhealthyThreshold &&
           Each.Server->Slowness.unhealthyProbability(Now) <=
               UnhealthyThreshold;
  });
  if (Unsound.begin() != Choices.begin())
    Choices.erase(Unsound.begin(), Choices.end());
  auto Others = std::ranges::partition(Choices, [&](const choice &Each) {
    return !Request.Bulk || Each.Server->DataCentre == DataCentre;
  });
  std::vector<choice> Sample;
  std::ranges::sample(Choices.begin(), Others.begin(),
                      std::back_inserter(Sample), SampledServers, Random);
  std::ranges::sample(Others, std::back_inserter(Sample), SampledServers,
                      Random);
  return Sample;
}

std::optional<slot_assignment> pool_scheduler::next(steady_time Now) {
  MoreUrgentWaiting = false;
  for (rank_queue &Queue : Queues) {
    if (Queue.empty())
      continue;
    pooled_server *Server = chooseServer(*Queue.front(Now), Now);
    if (!Server) {
      MoreUrgentWaiting = true;
      continue;
    }
    waiting_request Request = Queue.pop(Now);
    if (Request.Cost.known()) {
      PoolWork.recordStart(Request.Cost, maxWait(Request, Now));
      Server->Work.add(Request.Id, Request.Cost,
                       Now + std::chrono::duration_cast<steady_time::duration>(
                                 std::chrono::duration<double, std::milli>(
                                     expectedWait(Request, *Server, Now))));
    }
    ++Server->InUse;
    if (Now >= Server->RecentStartsSince + FastFailureWindow) {
      Server->RecentStarts = 0;
      Server->RecentStartsSince = Now;
    }
    ++Server->RecentStarts;
    std::optional<milliseconds> IdleFor;
    if (Now >= Server->LastUsed + idleTime(Now))
      IdleFor =
          std::chrono::duration_cast<milliseconds>(Now - Server->LastUsed);
    Server->PendingUntil = Now + ArrivalTimeout;
    StartRate.record(Now);
    Shares.recordStart(Request.Organisation, Request.OrganisationWeight, Now);
    return slot_assignment{
        Request.Id,       Server->Address,
        Server->Instance, Server->Health.unhealthyProbability(Now),
        Server->used(),   Server->Slots,
        IdleFor,          Server->Started};
  }
  return std::nullopt;
}

milliseconds pool_scheduler::reserveRetryDelay(steady_time Now) {
  auto Step = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double>(1 /
                                    std::max(1.0, StartRate.atLastStart())));
  steady_time Serving = allPausedUntil(Now).value_or(Now);
  LastRetryTime =
      std::max({LastRetryTime + Step, Now + MinRetryDelay, Serving});
  LastRetryTime = std::min(LastRetryTime, Serving + MaxRetryDelay);
  return std::chrono::duration_cast<milliseconds>(LastRetryTime - Now);
}

void pool_scheduler::release(std::string_view Address, rank, steady_time Now) {
  pooled_server *Server = find(Address);
  if (!Server)
    return;
  Server->InUse -= std::min<std::size_t>(Server->InUse, 1);
  removeDelisted(Now);
}

void pool_scheduler::recordWorkEnd(std::string_view Address, request_id Id) {
  if (pooled_server *Server = find(Address))
    Server->Work.remove(Id);
}

void pool_scheduler::observe(std::string_view Address, attempt_signal Signal,
                             steady_time Now, milliseconds Age) {
  pooled_server *Server = find(Address);
  if (!Server)
    return;
  Server->NeverUsed = false;
  if (showsArrival(Signal))
    Server->LastUsed = std::max(Server->LastUsed, Now - Age);
  if (Signal == attempt_signal::Failed ||
      Signal == attempt_signal::ErrorAfterWork)
    Server->LastFailed = Now;
  recordPoolFailure(*Server, Signal, Now);
  switch (Signal) {
  case attempt_signal::Good:
    Server->Slowness.observe(false, Now);
    return Server->Health.observeSuccess(Now);
  case attempt_signal::Accepted:
    Server->Failing = false;
    if (Server->InUse > 0)
      Server->Path.observe(false, Now);
    Server->Shedding.observe(false, Now);
    return Server->Health.observe(false, Now);
  case attempt_signal::Slow:
    return Server->Slowness.observe(true, Now);
  case attempt_signal::Failed:
    Server->Failing = true;
    return Server->Health.observe(true, Now);
  case attempt_signal::Unreachable:
    return Server->Path.observe(true, Now);
  case attempt_signal::ErrorAfterWork:
    return Server->Health.observeErrorAfterWork(Now);
  case attempt_signal::Shed:
    Server->Shedding.observe(true, Now);
    // A server that sheds requests while it has free slots is not full.
    if (Server->used() <= Server->Slots)
      return;
    Server->FullLimit = Server->used() - 1;
    Server->FullUntil = Now + FullServerBackoff;
  }
}

/// Failed trials of servers that are probably unhealthy are not counted: a high
/// failure rate causes more trials, which would keep the rate high.
void pool_scheduler::recordPoolFailure(const pooled_server &Server,
                                       attempt_signal Signal, steady_time Now) {
  bool Trial = Server.Health.unhealthyProbability(Now) > UnhealthyThreshold;
  if (Signal == attempt_signal::Accepted)
    PoolFailures.recordAccepted(Now);
  else if (Signal == attempt_signal::ErrorAfterWork)
    PoolFailures.recordErrorAfterWork(Now);
  else if (Signal == attempt_signal::Failed && !Trial)
    PoolFailures.recordFailed(Now);
}

void pool_scheduler::markLeaving(std::string_view Address, steady_time) {
  if (pooled_server *Server = find(Address))
    Server->Leaving = true;
}

bool pool_scheduler::recordLeavingAnnouncement(std::string_view Address,
                                               std::string_view Instance,
                                               std::int64_t Started) {
  if (hasAnnouncedLeaving(Address, Instance, Started))
    return false;
  pooled_server *Server = find(Address);
  // A late answer tells nothing about another incarnation that is listed now.
  if (Server && (Server->Instance != Instance || Server->Started != Started))
    return false;
  AnnouncedLeaving.insert_or_assign(
      std::string(Address), server_incarnation{std::string(Instance), Started});
  if (Server)
    Server->Leaving = true;
  return true;
}

bool pool_scheduler::hasAnnouncedLeaving(std::string_view Address,
                                         std::string_view Instance,
                                         std::int64_t Started) const {
  auto Found = AnnouncedLeaving.find(Address);
  return Found != AnnouncedLeaving.end() &&
         Found->second.Instance == Instance && Found->second.Started == Started;
}

std::optional<milliseconds>
pool_scheduler::pauseServer(std::string_view Address, std::string_view Instance,
                            std::int64_t Started, milliseconds Length,
                            steady_time Now) {
  pooled_server *Server = find(Address);
  if (!Server || Server->Instance != Instance || Server->Started != Started)
    return std::nullopt;
  milliseconds Applied = std::min(Length, MaxPause);
  Server->PausedUntil = std::max(Server->PausedUntil, Now + Applied);
  return Applied;
}

bool pool_scheduler::isPaused(std::string_view Address, steady_time Now) const {
  const pooled_server *Server = find(Address);
  return Server && Server->isPaused(Now);
}

std::optional<steady_time>
pool_scheduler::allPausedUntil(steady_time Now) const {
  bool AllPaused =
      std::ranges::all_of(Servers, [&](const pooled_server &Server) {
        return !Server.usable() || Server.isPaused(Now);
      });
  return AllPaused ? nextPauseEnd(Now) : std::nullopt;
}

std::optional<steady_time> pool_scheduler::nextPauseEnd(steady_time Now) const {
  auto Ends = Servers | std::views::filter([&](const pooled_server &Server) {
                return Server.usable() && Server.isPaused(Now);
              }) |
              std::views::transform(&pooled_server::PausedUntil);
  auto First = std::ranges::min_element(Ends);
  return First == Ends.end() ? std::nullopt : std::optional(*First);
}

std::optional<steady_time> pool_scheduler::opensAt(const pooled_server &Server,
                                                   steady_time Now) const {
  if (!Server.usable())
    return std::nullopt;
  if (Server.isPaused(Now))
    return Server.PausedUntil;
  if (awaitsConfirmation(Server, Now))
    return Server.RecentStartsSince + FastFailureWindow;
  if (Now < Server.FullUntil)
    return Server.FullUntil;
  return std::nullopt;
}

std::optional<steady_time> pool_scheduler::nextOpening(steady_time Now) const {
  std::optional<steady_time> First;
  for (const pooled_server &Server : Servers)
    if (auto Opening = opensAt(Server, Now))
      First = std::min(First.value_or(*Opening), *Opening);
  return First;
}

bool pool_scheduler::isSlow(std::string_view Address, steady_time Now) const {
  const pooled_server *Server = find(Address);
  return Server &&
         Server->Slowness.unhealthyProbability(Now) > UnhealthyThreshold;
}

void pool_scheduler::setRemoteSlots(std::string_view Address, std::size_t Slots,
                                    steady_time Now) {
  pooled_server *Server = find(Address);
  if (!Server)
    return;
  if (Slots > Server->RemoteSlots)
    Server->PendingUntil = Now + ArrivalTimeout;
  Server->RemoteSlots = Slots;
}

void pool_scheduler::recordReached(std::string_view Address, steady_time At) {
  pooled_server *Server = find(Address);
  if (!Server)
    return;
  Server->LastUsed = std::max(Server->LastUsed, At);
  Server->NeverUsed = false;
}

bool pool_scheduler::isIdle(std::string_view Address, steady_time Now) const {
  const pooled_server *Server = find(Address);
  return Server && Server->usable() && Now >= Server->LastUsed + idleTime(Now);
}

std::uint32_t pool_scheduler::localSlots(std::string_view Address) const {
  const pooled_server *Server = find(Address);
  return Server ? static_cast<std::uint32_t>(Server->InUse) : 0;
}

bool pool_scheduler::cancel(request_id Id) {
  return std::ranges::any_of(
      Queues, [&](rank_queue &Queue) { return Queue.remove(Id); });
}

std::vector<waiting_request> pool_scheduler::takeExpired(steady_time Now) {
  std::vector<waiting_request> Expired;
  auto Take = [&](std::vector<waiting_request> Requests) {
    std::ranges::move(Requests, std::back_inserter(Expired));
  };
  bool AnyPaused = nextPauseEnd(Now).has_value();
  for (rank_queue &Queue : Queues) {
    Take(Queue.takeExpired(Now));
    if (AnyPaused)
      Take(Queue.takeIf([&](const waiting_request &Request) {
        return !canStartInTime(Request, Now);
      }));
  }
  return Expired;
}

std::vector<waiting_request> pool_scheduler::takeAll(steady_time Now) {
  std::vector<waiting_request> Taken;
  for (rank_queue &Queue : Queues)
    while (!Queue.empty())
      Taken.push_back(Queue.pop(Now));
  return Taken;
}

pool_scheduler::pooled_server *pool_scheduler::find(std::string_view Address) {
  auto Found = Positions.find(Address);
  return Found == Positions.end() ? nullptr : &Servers[Found->second];
}

const pool_scheduler::pooled_server *
pool_scheduler::find(std::string_view Address) const {
  auto Found = Positions.find(Address);
  return Found == Positions.end() ? nullptr : &Servers[Found->second];
}

std::size_t pool_scheduler::waiting() const {
  return std::transform_reduce(Queues.begin(), Queues.end(), std::size_t{0},
                               std::plus{},
                               [](const rank_queue &Q) { return Q.size(); });
}

bool pool_scheduler::hasServers() const {
  return std::ranges::any_of(Servers, &pooled_server::usable);
}

std::vector<server_status> pool_scheduler::status(steady_time Now) const {
  std::vector<server_status> Rows;
  for (const pooled_server &Server : Servers) {
    double UnhealthyProbability = Server.Health.unhealthyProbability(Now);
    server_standing Standing = server_standing::Serving;
    if (!Server.usable())
      Standing = server_standing::Leaving;
    else if (UnhealthyProbability > 0.5)
      Standing = server_standing::Suspected;
    else if (Now < Server.ColdUntil)
      Standing = server_standing::Warming;
    Rows.push_back({Server.Address, Standing, Server.InUse,
                    static_cast<double>(Server.Slots), UnhealthyProbability});
  }
  return Rows;
}

pool_use pool_scheduler::use(steady_time Now) const {
  pool_use Use;
  Use.IdleLimit = IdleLimit;
  Use.ManyFail = manyFail(Now);
  for (const pooled_server &Server : Servers) {
    if (!Server.usable())
      continue;
    ++Use.Servers;
    steady_time IdleSince = Server.LastUsed + idleTime(Now);
    if (Now < IdleSince)
      continue;
    Use.Idle.push_back(
        {Server.Address,
         std::chrono::duration_cast<milliseconds>(Now - Server.LastUsed),
         Server.isPaused(Now)            ? idle_reason::Paused
         : Server.NotTriedAt < IdleSince ? idle_reason::NoRequest
                                         : Server.NotTried});
  }
  std::ranges::sort(Use.Idle, std::greater{}, &idle_server::IdleFor);
  return Use;
}

} // namespace endiverail
