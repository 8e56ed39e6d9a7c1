#include "request/attempt_policy.h"

namespace endiverail {

attempt_step nextStep(const attempt_failure &Failure,
                      const attempt_history &History) {
  if (Failure.ResponseStarted)
    return attempt_step::BreakConnection;
  bool Repeatable = History.Idempotent || Failure.ProvenNotRun;
  bool Affordable = History.Attempts < History.MaxAttempts &&
                    History.Cuts < MaxCuts && History.RetryBudgetLeft &&
                    History.TimeLeft > History.UsualTime;
  return Repeatable && Affordable ? attempt_step::Retry : attempt_step::Answer;
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
