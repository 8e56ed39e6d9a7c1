#include "base/error_kind.h"

#include <algorithm>
#include <array>

namespace endiverail {
namespace {

using enum error_kind;
using enum outcome;

constexpr std::array Answers{
    error_answer{BadRequest, 400, NotRun, "bad-request", 0},
    error_answer{HeadTooLarge, 431, NotRun, "head-too-large", 0},
    error_answer{BodyTooLarge, 413, NotRun, "body-too-large", 0},
    error_answer{LengthRequired, 411, NotRun, "length-required", 0},
    error_answer{MethodNotSupported, 405, NotRun, "method-not-supported", 0},
    error_answer{RequestTimeout, 408, NotRun, "request-timeout", 0},
    error_answer{UnknownService, 404, NotRun, "unknown-service", 0},
    error_answer{UnknownRoute, 404, NotRun, "unknown-route", 0},
    error_answer{UnknownAccessKey, 401, NotRun, "unknown-access-key", 0},
    error_answer{QuotaExceeded, 429, NotRun, "quota-exceeded", 1},
    error_answer{NotReady, 503, NotRun, "not-ready", 1},
    error_answer{Draining, 503, NotRun, "draining", 1},
    error_answer{MemoryLimit, 503, NotRun, "memory-limit", 1},
    error_answer{Overloaded, 503, NotRun, "overloaded", 1},
    error_answer{QueueFull, 503, NotRun, "queue-full", 1},
    error_answer{DeadlineBeforeRun, 503, NotRun, "deadline-before-run", 1},
    error_answer{NoBackendServer, 503, NotRun, "no-backend-server", 1},
    error_answer{Quarantined, 422, NotRun, "quarantined", 0},
    error_answer{BackendShed, 503, NotRun, "backend-shed", 1},
    error_answer{BackendUnreachable, 503, NotRun, "backend-unreachable", 1},
    error_answer{BackendTimeout, 504, Unknown, "backend-timeout", 0},
    error_answer{BackendCut, 502, Unknown, "backend-cut", 0},
    error_answer{BackendError, 502, Unknown, "backend-error", 0},
    error_answer{BackendMalformed, 502, Unknown, "backend-malformed", 0},
    error_answer{ForeignAnswer, 502, Unknown, "foreign-answer", 0},
    error_answer{PeerLost, 502, Unknown, "peer-lost", 0},
    error_answer{KeyExpired, 409, Unknown, "key-expired", 0},
    error_answer{KeyInProgress, 409, Unknown, "key-in-progress", 1},
    error_answer{BadFile, 400, NotRun, "bad-file", 0},
    error_answer{BadSettings, 400, NotRun, "bad-settings", 0},
    error_answer{BadRecord, 400, NotRun, "bad-record", 0},
    error_answer{BadSignature, 403, NotRun, "bad-signature", 0},
    error_answer{StaleParent, 409, NotRun, "stale-parent", 0},
    error_answer{StoreUnavailable, 503, Unknown, "store-unavailable", 1},
    error_answer{Internal, 500, Unknown, "internal", 0},
};

consteval bool followsEnumeration() {
  return std::ranges::all_of(Answers, [](const error_answer &Answer) {
    return &Answer - Answers.data() == static_cast<int>(Answer.Kind);
  });
}
static_assert(followsEnumeration() &&
              Answers.size() == static_cast<std::size_t>(Internal) + 1);

} // namespace

std::span<const error_answer> errorAnswers() { return Answers; }

const error_answer &errorAnswer(error_kind Kind) {
  return Answers[static_cast<std::size_t>(Kind)];
}

std::optional<error_kind> errorFromName(std::string_view Name) {
  auto Found = std::ranges::find(Answers, Name, &error_answer::Name);
  return Found == Answers.end() ? std::nullopt : std::optional(Found->Kind);
}

bool isServerFailure(error_kind Kind) {
  constexpr std::array Failures{BackendUnreachable, BackendTimeout,
                                BackendCut,         BackendError,
                                BackendMalformed,   ForeignAnswer};
  return std::ranges::find(Failures, Kind) != Failures.end();
}

std::string_view outcomeName(outcome Outcome) {
  switch (Outcome) {
  case Done:
    return "done";
  case NotRun:
    return "not-run";
  case Unknown:
    break;
  }
  return "unknown";
}

outcome outcomeFromName(std::string_view Name) {
  constexpr std::array Outcomes{Done, NotRun, Unknown};
  auto Found = std::ranges::find(Outcomes, Name, outcomeName);
  return Found == Outcomes.end() ? Unknown : *Found;
}

} // namespace endiverail
