#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// What a caller may conclude about a request.
enum class outcome {
  /// The backend server's whole answer is passed on.
  Done,
  /// Proven: no backend server ran the request.
  NotRun,
  /// The request may or may not have run.
  Unknown,
};

/// The closed list of everything that can go wrong.
enum class error_kind {
  BadRequest,
  HeadTooLarge,
  BodyTooLarge,
  LengthRequired,
  MethodNotSupported,
  RequestTimeout,
  UnknownService,
  UnknownRoute,
  UnknownAccessKey,
  QuotaExceeded,
  NotReady,
  Draining,
  MemoryLimit,
  Overloaded,
  QueueFull,
  DeadlineBeforeRun,
  NoBackendServer,
  Quarantined,
  BackendShed,
  BackendUnreachable,
  BackendTimeout,
  BackendCut,
  BackendError,
  BackendMalformed,
  ForeignAnswer,
  PeerLost,
  KeyExpired,
  KeyInProgress,
  BadFile,
  BadSettings,
  BadRecord,
  BadSignature,
  StaleParent,
  StoreUnavailable,
  Internal,
};

/// One row of the table from error kind to answer.
struct error_answer {
  error_kind Kind;
  /// HTTP status that a caller sees.
  int Status;
  /// What the caller is told of the request.
  outcome Outcome;
  /// Stable name for headers, logs and metrics.
  std::string_view Name;
  /// Seconds a caller should wait before it sends again; 0 for none.
  int RetryAfterSeconds;
};

/// The whole table, in the order of the enumeration.
std::span<const error_answer> errorAnswers();

/// The row of \p Kind.
const error_answer &errorAnswer(error_kind Kind);

/// The kind of that name, if there is one.
std::optional<error_kind> errorFromName(std::string_view Name);

/// Whether an error of an attempt tells against the backend server.
bool isServerFailure(error_kind Kind);

/// "done", "not-run" or "unknown".
std::string_view outcomeName(outcome Outcome);

/// The outcome of that name; Unknown for any other text.
outcome outcomeFromName(std::string_view Name);

/// An error with the detail that a person needs to act on it.
struct failure {
  error_kind Kind = error_kind::Internal;
  std::string Detail;
};

template <typename T> using result = boost::leaf::result<T>;

/// Makes the error half of a result.
inline boost::leaf::error_id fail(error_kind Kind, std::string Detail) {
  return boost::leaf::new_error(failure{Kind, std::move(Detail)});
}

/// Runs \p Try; on error returns what \p Otherwise makes of the failure.
template <typename TryBlock, typename Handler>
auto handleFailure(TryBlock &&Try, Handler &&Otherwise) {
  return boost::leaf::try_handle_all(
      std::forward<TryBlock>(Try),
      [&](const failure &Failure) { return Otherwise(Failure); },
      [&] {
        return Otherwise(failure{error_kind::Internal, "unspecified error"});
      });
}

} // namespace endiverail
