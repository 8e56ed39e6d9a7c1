#include "request/attempt_policy.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

attempt_history plentyLeft(bool Idempotent) {
  return {Idempotent, 1, 0, false, 1000ms, 10ms, true};
}

} // namespace

TEST_CASE("what follows a failed attempt") {
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
      {"idempotent, may have run", Sent, plentyLeft(true), Retry},
      {"not idempotent, may have run", Sent, plentyLeft(false), Answer},
      {"not idempotent, proven not run", NotSent, plentyLeft(false), Retry},
      {"answer begun",
       {error_kind::BackendCut, false, true},
       plentyLeft(true),
       BreakConnection},
      {"attempts used up", Sent,
       With(plentyLeft(true), [](auto &H) { H.Attempts = H.MaxAttempts; }),
       Answer},
      {"two broken connections", Sent,
       With(plentyLeft(true), [](auto &H) { H.Cuts = MaxCuts; }), Answer},
      {"no budget", Sent,
       With(plentyLeft(true), [](auto &H) { H.RetryBudgetLeft = false; }),
       Answer},
      {"no time", Sent,
       With(plentyLeft(true), [](auto &H) { H.TimeLeft = 9ms; }), Answer},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(nextStep(Row.Failure, Row.History) == Row.Step);
  }
}

TEST_CASE("not run is said only when no attempt may have run") {
  const attempt_failure NotSent{error_kind::BackendUnreachable, true, false};
  attempt_history History = plentyLeft(true);
  CHECK(errorAnswer(finalError(NotSent, History)).Outcome == outcome::NotRun);
  History.MayHaveRun = true;
  CHECK(errorAnswer(finalError(NotSent, History)).Outcome == outcome::Unknown);
  for (const error_answer &Answer : errorAnswers()) {
    attempt_failure Sent{Answer.Kind, false, false};
    CHECK(errorAnswer(finalError(Sent, plentyLeft(true))).Outcome !=
          outcome::NotRun);
  }
}
