#include "request/attempt_policy.h"

namespace endiverail {

bool usesRetryBudget(const attempt_failure &Failure) {
  return !Failure.ProvenNotRun ||
         Failure.Kind != error_kind::BackendUnreachable;
}

std::string_view retryObstacleName(retry_obstacle Obstacle) {
  switch (Obstacle) {
  case retry_obstacle::ResponseStarted:
    return "response-started";
  case retry_obstacle::MayHaveRun:
    return "may-have-run";
  case retry_obstacle::MaxAttempts:
    return "attempts";
  case retry_obstacle::BrokenConnections:
    return "broken-connections";
  case retry_obstacle::RetryBudget:
    return "retry-budget";
  case retry_obstacle::TimeLeft:
    break;
  }
  return "time-left";
}

std::optional<retry_obstacle> retryObstacle(const attempt_failure &Failure,
                                            const attempt_history &History) {
  using enum retry_obstacle;
  if (Failure.ResponseStarted)
    return ResponseStarted;
  if (!History.Idempotent && !Failure.ProvenNotRun)
    return MayHaveRun;
  if (History.Attempts >= History.MaxAttempts)
    return MaxAttempts;
  if (History.BrokenConnections >= MaxBrokenConnections)
    return BrokenConnections;
  if (!History.RetryBudgetLeft && usesRetryBudget(Failure))
    return RetryBudget;
  if (History.TimeLeft <= History.ExpectedDuration)
    return TimeLeft;
  return std::nullopt;
}

attempt_step nextStep(const attempt_failure &Failure,
                      const attempt_history &History) {
  auto Obstacle = retryObstacle(Failure, History);
  if (!Obstacle)
    return attempt_step::Retry;
  return Obstacle == retry_obstacle::ResponseStarted
             ? attempt_step::CloseConnection
             : attempt_step::ReturnError;
}

error_kind finalError(const attempt_failure &Failure,
                      const attempt_history &History) {
  bool Ran = History.MayHaveRun || !Failure.ProvenNotRun;
  if (!Ran)
    return Failure.Kind;
  return errorAnswer(Failure.Kind).Outcome == outcome::NotRun
             ? error_kind::BackendCut
             : Failure.Kind;
}

} // namespace endiverail
