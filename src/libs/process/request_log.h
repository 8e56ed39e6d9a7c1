#pragma once

#include "base/error_kind.h"
#include "log/event_line.h"
#include "placement/cost_model.h"
#include "process/active_request.h"
#include "process/pool_use.h"
#include "process/service_scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ranges>
#include <string_view>

namespace endiverail {

/// Logs events of requests that do not complete normally.
namespace request_log {

inline double millisecondsBetween(steady_time From, steady_time To) {
  return std::chrono::duration<double, std::milli>(To - From).count();
}

/// A version reached the traffic thread late.
inline void versionLate(std::uint64_t Number, steady_time Published,
                        steady_time Now) {
  event_line("version_late", event_level::Warning)
      .with("version", Number)
      .with("late_ms", millisecondsBetween(Published, Now));
}

/// Adds which caller's request a line is about.
inline void addCaller(event_line &Line, const caller_request &Request) {
  Line.with("caller_connection", Request.ResponseHandle.Connection)
      .with("caller_request", Request.ResponseHandle.Sequence);
}

/// Adds the connection to the backend server.
inline void addConnection(event_line &Line, const attempt_connection &To) {
  Line.with("server_connection", To.Number)
      .with("earlier_attempts", To.EarlierAttempts)
      .with("connection_age_ms", To.Age.count())
      .with("unasked_bytes", To.UnaskedBytes);
}

/// An attempt has failed; its response, if any, is not forwarded.
inline void attemptFailed(const active_request &Active,
                          const running_attempt &Attempt,
                          const attempt_end &End, steady_time Now) {
  const caller_request &Request = Active.Request;
  event_line Line("attempt_failed");
  Line.with("request", Request.Name)
      .with("service", Request.Service->Definition.Name)
      .with("route", Request.Kind->Name)
      .with("attempt", Active.Attempts)
      .with("server", Attempt.Target.Server)
      .with("instance", Attempt.Target.Instance)
      .with("doubt", Attempt.Target.FailureProbability)
      .with("slots_used", Attempt.Target.SlotsUsed)
      .with("error", errorAnswer(End.Failure->Kind).Name)
      .with("proven_not_run", End.Failure->ProvenNotRun)
      .with("detail", End.Detail)
      .with("took_ms", millisecondsBetween(Attempt.Started, Now))
      .with("left_ms", millisecondsBetween(Now, Request.Deadline));
  if (Attempt.Head)
    Line.with("status", Attempt.Head->Status);
  if (Attempt.Rejected)
    Line.with("rejected_status", Attempt.Rejected->Status)
        .with("rejected_identifier", Attempt.Rejected->Identifier);
  addConnection(Line, Attempt.Connection);
  addCaller(Line, Request);
}

/// A kept connection was closed unused, because bytes of no request lay on it.
inline void connectionDiscarded(const active_request &Active,
                                const running_attempt &Attempt,
                                const attempt_connection &Discarded) {
  event_line Line("connection_discarded");
  Line.with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("server", Attempt.Target.Server)
      .with("instance", Attempt.Target.Instance);
  addConnection(Line, Discarded);
  addCaller(Line, Active.Request);
}

/// A backend server's response is forwarded to the caller. Those that are no
/// errors are logged on debug level only.
inline void responsePassedOn(const active_request &Active,
                             const running_attempt &Attempt, steady_time Now) {
  constexpr int FirstServerError = 500;
  const caller_request &Request = Active.Request;
  bool IsError = Attempt.Head->Status >= FirstServerError;
  event_line Line(IsError ? "failure_passed_on" : "response_passed_on",
                  IsError ? event_level::Info : event_level::Debug);
  Line.with("request", Request.Name)
      .with("service", Request.Service->Definition.Name)
      .with("route", Request.Kind->Name)
      .with("attempt", Active.Attempts)
      .with("server", Attempt.Target.Server)
      .with("instance", Attempt.Target.Instance)
      .with("doubt", Attempt.Target.FailureProbability)
      .with("slots_used", Attempt.Target.SlotsUsed)
      .with("status", Attempt.Head->Status)
      .with("took_ms", millisecondsBetween(Attempt.Started, Now));
  addConnection(Line, Attempt.Connection);
  addCaller(Line, Request);
}

/// The caller gets an error response from this proxy.
inline void errorAnswered(const active_request &Active,
                          const response_head &Head, error_kind Kind,
                          std::string_view Detail, steady_time Now) {
  const caller_request &Request = Active.Request;
  event_line Line("error_answered");
  Line.with("request", Request.Name)
      .with("service", Request.Service->Definition.Name)
      .with("route", Request.Kind->Name)
      .with("organisation", Request.Organisation)
      .with("error", errorAnswer(Kind).Name)
      .with("status", Head.Status)
      .with("attempts", Active.Attempts)
      .with("may_have_run", Active.MayHaveRun)
      .with("detail", Detail)
      .with("retry_after", findHeader(Head.Headers, "Retry-After"))
      .with("held_ms", millisecondsBetween(Request.Arrival.At, Now))
      .with("left_ms", millisecondsBetween(Now, Request.Deadline))
      .with("intake_ms",
            millisecondsBetween(Request.Arrival.At, Active.TakenUp))
      .with("round_trip_ms",
            std::chrono::duration<double, std::milli>(Request.Arrival.RoundTrip)
                .count());
  if (Active.RetryObstacle)
    Line.with("not_retried", retryObstacleName(*Active.RetryObstacle));
  addCaller(Line, Request);
}

/// A backend server has turned a request away and gets none for \p Applied,
/// which is shorter than \p Asked if that is too long.
inline void serverPaused(const active_request &Active, milliseconds Asked,
                         milliseconds Applied) {
  event_line("server_paused")
      .with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("server", Active.Attempt->Target.Server)
      .with("instance", Active.Attempt->Target.Instance)
      .with("asked_ms", Asked.count())
      .with("paused_ms", Applied.count());
}

/// A backend server has asked for a pause without naming a time.
inline void pauseUnreadable(const active_request &Active,
                            std::string_view Text) {
  constexpr std::size_t MaxLoggedBytes = 64;
  event_line("pause_unreadable", event_level::Warning)
      .with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("server", Active.Attempt->Target.Server)
      .with("instance", Active.Attempt->Target.Instance)
      .with("value", Text.substr(0, MaxLoggedBytes));
}

/// The caller has closed its connection before the response.
inline void callerGone(const active_request &Active, steady_time Now) {
  event_line("caller_gone")
      .with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("attempts", Active.Attempts)
      .with("server",
            Active.Attempt ? Active.Attempt->Target.Server : std::string())
      .with("after_ms", millisecondsBetween(Active.Request.Arrival.At, Now));
}

/// A request is sent to a backend server that was idle.
inline void idleServerTried(const active_request &Active,
                            const slot_assignment &Assignment) {
  event_line("idle_server_tried")
      .with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("server", Assignment.Server)
      .with("instance", Assignment.Instance)
      .with("doubt", Assignment.FailureProbability)
      .with("slots_used", Assignment.SlotsUsed)
      .with("idle_ms", Assignment.IdleFor->count());
}

/// A backend server has announced in a response that it is leaving.
inline void serverLeaving(const active_request &Active, int Status) {
  const attempt_target &Target = Active.Attempt->Target;
  event_line("server_leaving")
      .with("request", Active.Request.Name)
      .with("service", Active.Request.Service->Definition.Name)
      .with("server", Target.Server)
      .with("instance", Target.Instance)
      .with("status", Status);
}

/// Expected and true costs of the requests of a route.
inline void costEstimated(std::string_view Service,
                          const cost_model::accuracy &Route) {
  event_line("cost_estimated")
      .with("service", Service)
      .with("route", Route.Route)
      .with("answers", Route.Answers)
      .with("expected_ms", Route.ExpectedMean)
      .with("true_ms", Route.TrueMean)
      .with("error_ms", Route.MeanAbsoluteError);
}

/// Backend servers get no requests although more of them should.
inline void serversIdle(std::string_view Service, const pool_use &Use) {
  constexpr std::size_t MaxListed = 8;
  event_line Line("servers_idle", event_level::Warning);
  Line.with("service", Service)
      .with("servers", Use.Servers)
      .with("idle", Use.Idle.size())
      .with("limit", Use.IdleLimit)
      .with("many_fail", Use.ManyFail);
  for (idle_reason Reason : IdleReasons)
    if (auto Count = std::ranges::count(Use.Idle, Reason, &idle_server::Reason))
      Line.with(idleReasonName(Reason), Count);
  nlohmann::ordered_json Listed = nlohmann::ordered_json::array();
  for (const idle_server &Idle : Use.Idle | std::views::take(MaxListed))
    Listed.push_back({{"server", Idle.Server},
                      {"idle_ms", Idle.IdleFor.count()},
                      {"reason", idleReasonName(Idle.Reason)}});
  Line.with("longest", std::move(Listed));
}

} // namespace request_log
} // namespace endiverail
