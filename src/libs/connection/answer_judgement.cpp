#include "connection/answer_judgement.h"

namespace endiverail {

answer_judgement judgeAnswer(const backend_response_head &Head,
                             std::string_view AttemptName, bool MayRetry) {
  constexpr int Unavailable = 503;
  constexpr int FirstServerError = 500;
  answer_judgement Judgement;
  Judgement.Leaving = !findHeader(Head.Headers, "Endiverail-Leaving").empty();
  if (!responseMatchesAttempt(Head.Headers, AttemptName)) {
    Judgement.Refused = error_kind::ForeignAnswer;
    return Judgement;
  }
  bool NotRun = findHeader(Head.Headers, "Endiverail-Not-Run") == "true";
  if (Head.Status == Unavailable && NotRun) {
    Judgement.Refused = error_kind::BackendShed;
    return Judgement;
  }
  Judgement.ServerFailed = Head.Status >= FirstServerError;
  if (Judgement.ServerFailed && MayRetry)
    Judgement.Refused = error_kind::BackendError;
  return Judgement;
}

} // namespace endiverail
