#include "process/service_scheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

constexpr double WarmUpLimit = 2;
constexpr double LimitDecreaseFactor = 0.7;
constexpr double MinLimit = 1;
constexpr std::size_t SuccessfulTrialsToRecover = 3;
constexpr milliseconds SuspectedTrialInterval{25};
constexpr milliseconds InitialTrialInterval{500};
constexpr milliseconds MaxTrialInterval{30'000};
/// The number of past ejections, which lengthens the trial interval of a
/// flapping server, is reset after this time without an ejection.
constexpr std::chrono::minutes FlapHistoryLifetime{10};
/// How long the host list may lag behind a backend server's own announcement.
constexpr std::chrono::seconds MaxHostListLag{60};
/// Share of bad signals that occurs in a healthy pool.
constexpr double MinBaseline = 0.01;
constexpr double BaselinePriorWeight = 100;
constexpr double RecentPriorWeight = 2;
constexpr double MaxBaseline = 0.97;

milliseconds trialInterval(std::size_t Ejections) {
  auto Doublings = std::min<std::size_t>(Ejections, 6);
  return std::min(InitialTrialInterval * (1 << Doublings), MaxTrialInterval);
}

} // namespace

std::string_view standingName(server_standing Standing) {
  switch (Standing) {
  case server_standing::Serving:
    return "serving";
  case server_standing::Warming:
    return "warming";
  case server_standing::Suspected:
    return "suspected";
  case server_standing::Ejected:
    return "ejected";
  case server_standing::Leaving:
    break;
  }
  return "leaving";
}

service_scheduler::service_scheduler(const service_definition &Definition,
                                     std::uint64_t Seed)
    : Definition(Definition), Random(Seed) {
  for (rank Rank : AllRanks)
    Queues.emplace_back(Definition.QueueLimit[rankIndex(Rank)]);
}

void service_scheduler::configure(const service_definition &NewDefinition,
                                  std::span<const backend_server> NewServers,
                                  steady_time Now) {
  bool First = Servers.empty();
  Definition = NewDefinition;
  for (rank Rank : AllRanks)
    Queues[rankIndex(Rank)].setLimit(Definition.QueueLimit[rankIndex(Rank)]);
  for (scheduled_server &Server : Servers)
    Server.Delisted = true;
  for (const backend_server &Listed : NewServers) {
    scheduled_server *Known = find(Listed.Address);
    if (!Known) {
      Known = &Servers.emplace_back();
      Known->Address = Listed.Address;
      Known->NextTrial = Now;
      // A proxy that has just started doesn't know which servers are cold.
      Known->Warm = First;
      Known->Limit =
          First ? static_cast<double>(Definition.SlotsPerServer) : WarmUpLimit;
    }
    Known->Delisted = false;
    Known->Leaving = Listed.State == server_state::Leaving ||
                     Now < Known->AnnouncedLeavingUntil;
    Known->Limit =
        std::min(Known->Limit, static_cast<double>(Definition.SlotsPerServer));
  }
  removeDelisted();
}

void service_scheduler::removeDelisted() {
  std::erase_if(Servers, [](const scheduled_server &Server) {
    return Server.Delisted && Server.InUse == 0;
  });
}

std::optional<request_id> service_scheduler::submit(waiting_request Request,
                                                    steady_time Now) {
  rank_queue &Queue = Queues[rankIndex(Request.Rank)];
  auto Dropped = Queue.push(std::move(Request), Now);
  return Dropped ? std::optional(Dropped->Id) : std::nullopt;
}

void service_scheduler::resubmit(waiting_request Request, steady_time) {
  rank_queue &Queue = Queues[rankIndex(Request.Rank)];
  Queue.pushFront(std::move(Request));
}

double service_scheduler::guaranteedSlots(rank Rank) const {
  double Share =
      static_cast<double>(Definition.SharePercent[rankIndex(Rank)]) / 100;
  return std::ceil(static_cast<double>(capacity()) * Share);
}

bool service_scheduler::mayStart(rank Rank, steady_time Now) const {
  const waiting_request *Front = Queues[rankIndex(Rank)].front(Now);
  if (!Front)
    return false;
  if (!Front->Bulk)
    return true;
  // Bulk requests hold their slots for a long time, so they don't use the
  // guaranteed slots of more urgent ranks even while those are free.
  auto Held = [&](rank Other) {
    return std::max(guaranteedSlots(Other),
                    static_cast<double>(InUseByRank[rankIndex(Other)]));
  };
  double Reserved = 0;
  for (rank Other : AllRanks)
    if (Other < Rank)
      Reserved += Held(Other);
  double Open = std::max(guaranteedSlots(Rank),
                         static_cast<double>(capacity()) - Reserved);
  return static_cast<double>(InUseByRank[rankIndex(Rank)]) < Open;
}

std::optional<rank> service_scheduler::chooseRank(steady_time Now) const {
  auto Ready = AllRanks | std::views::filter(
                              [&](rank Rank) { return mayStart(Rank, Now); });
  auto BelowShare = std::ranges::find_if(Ready, [&](rank Rank) {
    return static_cast<double>(InUseByRank[rankIndex(Rank)]) <
           guaranteedSlots(Rank);
  });
  if (BelowShare != Ready.end())
    return *BelowShare;
  auto MostUrgent = Ready.begin();
  return MostUrgent == Ready.end() ? std::nullopt : std::optional(*MostUrgent);
}

server_standing
service_scheduler::standing(const scheduled_server &Server) const {
  if (Server.Leaving || Server.Delisted)
    return server_standing::Leaving;
  if (Server.Ejected)
    return server_standing::Ejected;
  if (Server.Detector.suspected())
    return server_standing::Suspected;
  return Server.Warm ? server_standing::Serving : server_standing::Warming;
}

bool service_scheduler::hasFreeSlot(const scheduled_server &Server,
                                    steady_time Now) const {
  switch (standing(Server)) {
  case server_standing::Leaving:
    return false;
  case server_standing::Ejected:
    return Server.InUse == 0 && Now >= Server.NextTrial;
  default:
    return static_cast<double>(Server.InUse) < std::floor(Server.Limit);
  }
}

/// A trial may fail the request, so only requests that can be repeated and for
/// which the retry budget has a retry left are used.
bool service_scheduler::allowsTrial(const waiting_request &Request) const {
  return Request.Idempotent && Request.Avoid.empty() &&
         Retries.available(Request.Rank);
}

std::optional<request_id> service_scheduler::takeForTrial(steady_time Now) {
  auto Rank = chooseRank(Now);
  if (!Rank)
    return std::nullopt;
  rank_queue &Queue = Queues[rankIndex(*Rank)];
  if (!allowsTrial(*Queue.front(Now)))
    return std::nullopt;
  return Queue.pop(Now).Id;
}

service_scheduler::scheduled_server *
service_scheduler::chooseServer(const waiting_request &Request,
                                steady_time Now) {
  struct choice {
    scheduled_server *Server = nullptr;
    double Cost = 0;
  };
  constexpr double AvoidCost = 1000;
  constexpr double SuspectedCost = 100;
  constexpr double TrialCost = -10;
  std::uniform_real_distribution<double> TieBreak(0, 0.01);

  choice Best;
  for (scheduled_server &Server : Servers) {
    if (!hasFreeSlot(Server, Now))
      continue;
    bool Avoided =
        std::ranges::find(Request.Avoid, Server.Address) != Request.Avoid.end();
    bool Trial = Server.Ejected || Server.Detector.suspected();
    bool TrialAllowed = allowsTrial(Request);
    if (Server.Ejected && !TrialAllowed)
      continue;
    double Cost =
        static_cast<double>(Server.InUse) / std::max(1.0, Server.Limit) +
        Server.Detector.suspicion() + TieBreak(Random);
    if (Avoided)
      Cost += AvoidCost;
    if (Trial) {
      bool Due = TrialAllowed && Server.InUse == 0 && Now >= Server.NextTrial;
      Cost += Due ? TrialCost : SuspectedCost;
    }
    if (!Best.Server || Cost < Best.Cost)
      Best = {&Server, Cost};
  }
  return Best.Server;
}

std::optional<slot_assignment> service_scheduler::next(steady_time Now) {
  endEjections(Now);
  auto Rank = chooseRank(Now);
  if (!Rank)
    return std::nullopt;
  rank_queue &Queue = Queues[rankIndex(*Rank)];
  scheduled_server *Server = chooseServer(*Queue.front(Now), Now);
  if (!Server)
    return std::nullopt;
  waiting_request Request = Queue.pop(Now);
  if (Server->Ejected || Server->Detector.suspected())
    Server->NextTrial =
        Now + (Server->Ejected ? trialInterval(Server->Ejections)
                               : SuspectedTrialInterval);
  ++Server->InUse;
  ++InUseByRank[rankIndex(*Rank)];
  return slot_assignment{Request.Id, Server->Address};
}

void service_scheduler::release(std::string_view Address, rank Rank,
                                steady_time) {
  --InUseByRank[rankIndex(Rank)];
  if (scheduled_server *Server = find(Address)) {
    --Server->InUse;
    removeDelisted();
  }
}

void service_scheduler::raiseLimit(scheduled_server &Server) {
  double Slots = static_cast<double>(Definition.SlotsPerServer);
  Server.Limit =
      std::min(Slots, Server.Limit + 1 / std::max(1.0, Server.Limit));
  if (Server.Limit >= Slots - 0.5)
    Server.Warm = true;
}

double service_scheduler::baselineFor(const scheduled_server &Server,
                                      steady_time Now) const {
  auto ShareOfOthers = [&](auto RateOf, double PriorWeight) {
    double Bad = MinBaseline * PriorWeight;
    double Total = PriorWeight;
    for (const scheduled_server &Other : Servers) {
      if (&Other == &Server)
        continue;
      Bad += RateOf(Other.Detector).bad(Now);
      Total += RateOf(Other.Detector).total(Now);
    }
    return Bad / Total;
  };
  // The short-term rate is the first to show that the whole pool fails.
  double Share = std::max(
      ShareOfOthers(std::mem_fn(&outlier_detector::rate), BaselinePriorWeight),
      ShareOfOthers(std::mem_fn(&outlier_detector::recentRate),
                    RecentPriorWeight));
  return std::clamp(Share, MinBaseline, MaxBaseline);
}

void service_scheduler::observe(std::string_view Address, attempt_signal Signal,
                                steady_time Now) {
  scheduled_server *Server = find(Address);
  if (!Server)
    return;
  if (Signal == attempt_signal::Accepted)
    return;
  if (Signal == attempt_signal::Shed) {
    Server->Limit = std::max(MinLimit, Server->Limit * LimitDecreaseFactor);
    return;
  }
  // Servers are compared with the rest of the pool, so that an error counts
  // the same whether it comes early or late.
  if (Signal == attempt_signal::ErrorAfterWork ||
      Signal == attempt_signal::Unreachable)
    Signal = attempt_signal::Failed;
  Server->Detector.observe(Signal, baselineFor(*Server, Now), Now);
  bool Good = Signal == attempt_signal::Good;
  if (Good)
    raiseLimit(*Server);
  if (Server->Ejected)
    Server->SuccessfulTrials = Good ? Server->SuccessfulTrials + 1 : 0;
}

void service_scheduler::markLeaving(std::string_view Address, steady_time Now) {
  if (scheduled_server *Server = find(Address)) {
    Server->Leaving = true;
    Server->AnnouncedLeavingUntil = Now + MaxHostListLag;
  }
}

void service_scheduler::setEjected(std::string_view Address,
                                   std::optional<steady_time> Until,
                                   steady_time Now) {
  scheduled_server *Server = find(Address);
  if (!Server)
    return;
  if (!Until) {
    endEjection(*Server);
    return;
  }
  Server->EjectedUntil = *Until;
  if (std::exchange(Server->Ejected, true))
    return;
  Server->SuccessfulTrials = 0;
  if (Now - Server->LastEjection > FlapHistoryLifetime)
    Server->Ejections = 0;
  ++Server->Ejections;
  Server->LastEjection = Now;
  Server->NextTrial = Now + trialInterval(Server->Ejections);
}

void service_scheduler::endEjection(scheduled_server &Server) {
  if (!std::exchange(Server.Ejected, false))
    return;
  Server.Detector.clear();
  Server.Limit = std::min(Server.Limit, WarmUpLimit);
  Server.Warm = false;
}

void service_scheduler::endEjections(steady_time Now) {
  for (scheduled_server &Server : Servers)
    if (Server.Ejected && Now >= Server.EjectedUntil)
      endEjection(Server);
}

bool service_scheduler::cancel(request_id Id) {
  return std::ranges::any_of(
      Queues, [&](rank_queue &Queue) { return Queue.remove(Id); });
}

std::vector<waiting_request> service_scheduler::takeExpired(steady_time Now) {
  std::vector<waiting_request> Expired;
  for (rank_queue &Queue : Queues)
    std::ranges::move(Queue.takeExpired(Now), std::back_inserter(Expired));
  return Expired;
}

std::vector<endpoint_text> service_scheduler::ejectionCandidates() const {
  std::vector<endpoint_text> Found;
  for (const scheduled_server &Server : Servers)
    if (!Server.Ejected && !Server.Leaving && Server.Detector.shouldEject())
      Found.push_back(Server.Address);
  return Found;
}

double service_scheduler::failureShare(std::string_view Address,
                                       steady_time Now) const {
  const scheduled_server *Server = find(Address);
  if (!Server)
    return 0;
  const failure_rate &Rate = Server->Detector.rate();
  return Rate.bad(Now) / std::max(1.0, Rate.total(Now));
}

void service_scheduler::postponeTrial(std::string_view Address,
                                      steady_time Until) {
  if (scheduled_server *Server = find(Address))
    Server->NextTrial = std::max(Server->NextTrial, Until);
}

std::vector<endpoint_text> service_scheduler::recovered() const {
  std::vector<endpoint_text> Found;
  for (const scheduled_server &Server : Servers)
    if (Server.Ejected && Server.SuccessfulTrials >= SuccessfulTrialsToRecover)
      Found.push_back(Server.Address);
  return Found;
}

service_scheduler::scheduled_server *
service_scheduler::find(std::string_view Address) {
  auto Found = std::ranges::find(Servers, Address, &scheduled_server::Address);
  return Found == Servers.end() ? nullptr : &*Found;
}

const service_scheduler::scheduled_server *
service_scheduler::find(std::string_view Address) const {
  auto Found = std::ranges::find(Servers, Address, &scheduled_server::Address);
  return Found == Servers.end() ? nullptr : &*Found;
}

std::size_t service_scheduler::waiting() const {
  return std::transform_reduce(Queues.begin(), Queues.end(), std::size_t{0},
                               std::plus{},
                               [](const rank_queue &Q) { return Q.size(); });
}

std::size_t service_scheduler::inUse() const {
  return std::reduce(InUseByRank.begin(), InUseByRank.end());
}

std::size_t service_scheduler::capacity() const {
  double Slots = 0;
  for (const scheduled_server &Server : Servers)
    if (!Server.Leaving && !Server.Delisted && !Server.Ejected)
      Slots += std::floor(Server.Limit);
  return static_cast<std::size_t>(Slots);
}

bool service_scheduler::hasServers() const {
  return std::ranges::any_of(Servers, [](const scheduled_server &Server) {
    return !Server.Leaving && !Server.Delisted;
  });
}

std::vector<server_status> service_scheduler::status(steady_time) const {
  std::vector<server_status> Rows;
  Rows.reserve(Servers.size());
  for (const scheduled_server &Server : Servers)
    Rows.push_back({Server.Address, standing(Server), Server.InUse,
                    Server.Limit, Server.Detector.suspicion()});
  return Rows;
}

std::optional<steady_time> service_scheduler::nextTrial() const {
  std::optional<steady_time> Next;
  for (const scheduled_server &Server : Servers)
    if (Server.Ejected && (!Next || Server.NextTrial < *Next))
      Next = Server.NextTrial;
  return Next;
}

} // namespace endiverail
