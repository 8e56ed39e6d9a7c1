#include "request/attempt_policy.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

attempt_history historyWithBudget(bool Idempotent) {
  return {Idempotent, 1, 0, false, 1000ms, 10ms, true};
}

} // namespace

TEST_CASE("next step after a failed attempt") {
  using enum attempt_step;
  const attempt_failure Sent{error_kind::BackendTimeout, false, false};
  const attempt_failure NotSent{error_kind::BackendUnreachable, true, false};
  struct row {
    const char *What;
    attempt_failure Failure;
    attempt_history History;
    attempt_step Step;
  };
  auto With = [](attempt_history History, auto Change) {
    Change(History);
    return History;
  };
  const row Rows[]{
      {"idempotent, may have run", Sent, historyWithBudget(true), Retry},
      {"not idempotent, may have run", Sent, historyWithBudget(false),
       ReturnError},
      {"not idempotent, proven not run", NotSent, historyWithBudget(false),
       Retry},
      {"response started",
       {error_kind::BackendCut, false, true},
       historyWithBudget(true),
       CloseConnection},
      {"no attempts left", Sent,
       With(historyWithBudget(true),
            [](auto &H) { H.Attempts = H.MaxAttempts; }),
       ReturnError},
      {"two broken connections", Sent,
       With(historyWithBudget(true),
            [](auto &H) { H.BrokenConnections = MaxBrokenConnections; }),
       ReturnError},
      {"no retry budget left", Sent,
       With(historyWithBudget(true),
            [](auto &H) { H.RetryBudgetLeft = false; }),
       ReturnError},
      {"no retry budget left, rejected by the server",
       {error_kind::BackendShed, true, false},
       With(historyWithBudget(false),
            [](auto &H) { H.RetryBudgetLeft = false; }),
       ReturnError},
      {"no retry budget left, but no connection was made", NotSent,
       With(historyWithBudget(false),
            [](auto &H) { H.RetryBudgetLeft = false; }),
       Retry},
      {"no connection was made and no attempts left", NotSent,
       With(historyWithBudget(false),
            [](auto &H) { H.Attempts = H.MaxAttempts; }),
       ReturnError},
      {"no time left", Sent,
       With(historyWithBudget(true), [](auto &H) { H.TimeLeft = 9ms; }),
       ReturnError},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(nextStep(Row.Failure, Row.History) == Row.Step);
  }
}

TEST_CASE("not-run is reported only if no attempt may have run") {
  const attempt_failure NotSent{error_kind::BackendUnreachable, true, false};
  attempt_history History = historyWithBudget(true);
  CHECK(errorAnswer(finalError(NotSent, History)).Outcome == outcome::NotRun);
  History.MayHaveRun = true;
  CHECK(errorAnswer(finalError(NotSent, History)).Outcome == outcome::Unknown);
  for (const error_answer &Answer : errorAnswers()) {
    attempt_failure Sent{Answer.Kind, false, false};
    CHECK(errorAnswer(finalError(Sent, historyWithBudget(true))).Outcome !=
          outcome::NotRun);
  }
}
