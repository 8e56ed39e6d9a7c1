#include "experiment/simulated_pool.h"

#include <algorithm>
#include <ranges>

namespace endiverail {
namespace {

constexpr int SlowFactor = 10;

/// The parts that a traffic thread is made of always can be had in a process
/// that has run thus far.
template <typename T> T sure(result<T> Result) {
  return std::move(Result.value());
}

} // namespace

simulated_pool::simulated_pool(const service_definition &Definition,
                               std::uint64_t Seed)
    : Definition(Definition), Random(Seed), Servers(Definition.PoolSize) {
  auto Accepted = std::make_shared<accepted_service>();
  Accepted->Definition = Definition;
  Service = Accepted;
  Traffic = std::make_unique<traffic>(
      sure(poller::create()), sure(event_descriptor::create()),
      traffic_settings{"simulated", {1, milliseconds(1)}, Seed}, Answers,
      Notices, Metrics, simulated_clock{&Now});
  Traffic->transport().Start = [this](const attempt_request &Request) {
    startAttempt(Request);
  };
  Traffic->transport().Cancel = [this](attempt_id Id) {
    if (auto Found = Running.find(Id); Found != Running.end()) {
      // Backend servers accept cancellation.
      --Servers[Found->second].InUse;
      Running.erase(Found);
    }
  };
  auto Version = std::make_shared<fleet_version>();
  Version->Number = 1;
  Version->Ready = true;
  Version->SelfId = "self";
  Version->Configuration = configuration::build(std::vector{Service});
  service_owner Self{"self", "self", "dc", {}};
  for (std::size_t Index = 0; Index < Definition.PoolSize; ++Index)
    Self.Servers.push_back(
        {serverName(Index), Definition.Pool, "dc", server_state::Live});
  Version->Owners[Definition.Name] = {Self};
  Traffic->post(version_changed{std::move(Version)});
  Traffic->readInbox(Now);
}

void simulated_pool::run(steady_time Until) {
  while (true) {
    steady_time Next = Events.empty() ? Until : Events.begin()->first;
    if (auto Wake = Traffic->nextWake())
      Next = std::min(Next, *Wake);
    if (Next >= Until)
      break;
    Now = std::max(Now, Next);
    while (!Events.empty() && Events.begin()->first <= Now) {
      auto Do = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Do();
    }
    Traffic->readInbox(Now);
    Traffic->onWake(Now);
  }
  Now = Until;
}

request_id simulated_pool::send(std::string_view Method,
                                const std::string &Organisation) {
  caller_request Request;
  Request.Id = ++LastRequest;
  Request.ResponseHandle = {0, Request.Id, 1};
  Request.Method = Method;
  Request.Target = "/" + Definition.Name + "/" + std::to_string(Request.Id);
  Request.Service = Service;
  Request.Kind = Service->Definition.findKind(Method, Request.Target);
  Request.Organisation = Organisation;
  Request.Arrival.At = Request.ReadAt = Now;
  Request.Deadline = Now + Request.Kind->Timeout;
  auto Kind =
      static_cast<std::size_t>(Request.Kind - Service->Definition.Kinds.data());
  Sent[Request.Id] = {Now, Kind};
  Traffic->post(run_request{std::move(Request)});
  return LastRequest;
}

std::size_t simulated_pool::indexOf(std::string_view Server) const {
  return std::stoul(std::string(Server.substr(Server.find('-') + 1)));
}

std::size_t simulated_pool::inUse() const {
  std::size_t Sum = 0;
  for (const simulated_server &Server : Servers)
    Sum += Server.InUse;
  return Sum;
}

void simulated_pool::startAttempt(const attempt_request &Request) {
  std::size_t Index = indexOf(Request.Server);
  simulated_server &Server = Servers[Index];
  attempt_id Id = Request.Id;
  Running[Id] = Index;
  ++Server.InUse;
  if (Server.InUse > Definition.SlotsPerServer) {
    at(Now + milliseconds(1),
       [=, this] { finishAttempt(Id, Index, 503, true); });
    return;
  }
  std::uniform_real_distribution<double> Share(0, 1);
  std::uniform_real_distribution<double> Spread(0.6, 1.4);
  auto Time =
      std::chrono::duration_cast<microseconds>(ServiceTime * Spread(Random));
  bool Fails = Server.Fault == simulated_fault::Error ||
               (Server.Fault == simulated_fault::SomeErrors &&
                Share(Random) < Server.ErrorShare);
  if (Server.Fault == simulated_fault::Slow)
    Time *= SlowFactor;
  steady_time End = std::max(Now, Server.PausedUntil) + Time;
  if (Server.Fault == simulated_fault::Hang) {
    at(Now + Request.Timeout, [=, this] {
      if (Running.erase(Id) == 0)
        return;
      --Servers[Index].InUse;
      Traffic->onEnd(
          Id, {attempt_failure{error_kind::BackendTimeout, false, false}, ""});
    });
    return;
  }
  at(End, [=, this] { finishAttempt(Id, Index, Fails ? 500 : 200, false); });
}

void simulated_pool::finishAttempt(attempt_id Id, std::size_t Index, int Status,
                                   bool Shed) {
  if (Running.erase(Id) == 0)
    return;
  --Servers[Index].InUse;
  backend_response_head Head;
  Head.Status = Status;
  Head.Length = 0;
  if (Shed)
    Head.Headers.push_back({"Endiverail-Not-Run", "true"});
  auto Refused = Traffic->onHead(Id, std::move(Head));
  attempt_end End;
  if (Refused)
    End.Failure = attempt_failure{*Refused, false, false};
  Traffic->onEnd(Id, End);
}

void simulated_pool::onAnswerPart(const response_message &Message) {
  const auto *Begin = std::get_if<response_begin>(&Message);
  if (!Begin)
    return;
  auto Found = Sent.find(Begin->ResponseHandle.Connection);
  if (Found == Sent.end())
    return;
  sent_request Request = Found->second;
  Sent.erase(Found);
  if (OnAnswer)
    OnAnswer({Begin->ResponseHandle.Connection, Request.Kind,
              Begin->Head.Outcome, Begin->Head.Status == 200,
              std::chrono::duration_cast<milliseconds>(Now - Request.At)});
}

void simulated_pool::onNotice(const control_notice &Notice) {
  const auto *Wish = std::get_if<ejection_request>(&Notice);
  if (!Wish)
    return;
  if (!Wish->Eject) {
    Ejected.erase(Wish->Server);
    if (OnWish)
      OnWish(indexOf(Wish->Server), false);
    Traffic->post(ejection_changed{Wish->Service, Wish->Server, std::nullopt});
    return;
  }
  bool Fits =
      Ejected.size() + Definition.MinHealthyServers < Definition.PoolSize;
  if (!Fits || !Ejected.emplace(Wish->Server, Now).second)
    return;
  if (OnWish)
    OnWish(indexOf(Wish->Server), true);
  if (!GrantAfter)
    return;
  ejection_changed Change{Wish->Service, Wish->Server,
                          Now + std::chrono::hours(24)};
  at(Now + *GrantAfter, [this, Change] { Traffic->post(Change); });
}

} // namespace endiverail
