#include "request/attempt_policy.h"

namespace endiverail {

bool usesRetryBudget(const attempt_failure &Failure) {
  return !Failure.ProvenNotRun ||
         Failure.Kind != error_kind::BackendUnreachable;
}

attempt_step nextStep(const attempt_failure &Failure,
                      const attempt_history &History) {
  if (Failure.ResponseStarted)
    return attempt_step::CloseConnection;
  bool SafeToRetry = History.Idempotent || Failure.ProvenNotRun;
  bool WithinLimits = History.Attempts < History.MaxAttempts &&
                      History.BrokenConnections < MaxBrokenConnections &&
                      (History.RetryBudgetLeft || !usesRetryBudget(Failure)) &&
                      History.TimeLeft > History.ExpectedDuration;
  return SafeToRetry && WithinLimits ? attempt_step::Retry
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
