#include "connection/response_classification.h"

#include "base/text.h"

#include <algorithm>

namespace endiverail {

bool isRepeated(std::span<const header_field> Fields, std::string_view Name) {
  return std::ranges::count_if(Fields, [&](const header_field &Field) {
           return equalIgnoringCase(Field.Name, Name);
         }) > 1;
}

response_classification classifyResponse(const backend_response_head &Head,
                                         std::string_view AttemptName,
                                         bool MayRetry) {
  constexpr int Unavailable = 503;
  constexpr int FirstServerError = 500;
  response_classification Classification;
  Classification.Identifier = findHeader(Head.Headers, AttemptHeader);
  Classification.Leaving =
      !findHeader(Head.Headers, "Endiverail-Leaving").empty();
  if (!responseMatchesAttempt(Head.Headers, AttemptName) ||
      isRepeated(Head.Headers, AttemptHeader)) {
    Classification.Error = error_kind::ForeignAnswer;
    return Classification;
  }
  bool NotRun = findHeader(Head.Headers, "Endiverail-Not-Run") == "true";
  if (Head.Status == Unavailable && NotRun) {
    Classification.Error = error_kind::BackendShed;
    return Classification;
  }
  Classification.ServerFailed = Head.Status >= FirstServerError;
  if (Classification.ServerFailed && MayRetry)
    Classification.Error = error_kind::BackendError;
  return Classification;
}

} // namespace endiverail
