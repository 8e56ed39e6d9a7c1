#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace endiverail {

/// Describes a failed attempt to send a request to a backend server.
struct attempt_failure {
  error_kind Kind = error_kind::Internal;
  /// It is certain that no part of the request has reached the backend server,
  /// or its response means "not run" according to the contract.
  bool ProvenNotRun = false;
  /// Part of the response has already been sent to the caller.
  bool ResponseStarted = false;
};

/// Previous attempts and remaining limits of a request.
struct attempt_history {
  bool Idempotent = false;
  /// Number of attempts, including the failed one.
  std::size_t Attempts = 0;
  /// Number of attempts, including the failed one, whose connection broke while
  /// the request was running. The request itself may be what crashes the
  /// backend servers.
  std::size_t BrokenConnections = 0;
  /// Whether an earlier attempt may have executed the request.
  bool MayHaveRun = false;
  milliseconds TimeLeft{0};
  /// Typical duration of an attempt.
  milliseconds ExpectedDuration{0};
  bool RetryBudgetLeft = false;
  /// Maximum number of attempts for the request's kind of work.
  std::size_t MaxAttempts = 3;
};

enum class attempt_step {
  /// Retry with another backend server.
  Retry,
  /// Send an error response to the caller.
  ReturnError,
  /// Close the caller's connection, as the response has already started.
  CloseConnection,
};

/// What prevents another attempt.
enum class retry_obstacle {
  /// A part of the response has been sent to the caller.
  ResponseStarted,
  /// The request may have run and is not idempotent.
  MayHaveRun,
  MaxAttempts,
  BrokenConnections,
  RetryBudget,
  TimeLeft,
};

std::string_view retryObstacleName(retry_obstacle Obstacle);

inline constexpr std::size_t MaxBrokenConnections = 2;

/// Whether a retry after the failure counts against the retry budget. One after
/// an attempt that could not connect does not, because the backend servers get
/// the request only once.
bool usesRetryBudget(const attempt_failure &Failure);

/// Returns what prevents another attempt after a failed one, or nullopt.
std::optional<retry_obstacle> retryObstacle(const attempt_failure &Failure,
                                            const attempt_history &History);

/// Decides how to proceed after a failed attempt. A request that is not
/// idempotent is retried only if the failed attempt is proven not to have run.
attempt_step nextStep(const attempt_failure &Failure,
                      const attempt_history &History);

/// Returns the error that is reported to the caller if there is no further
/// attempt. Its outcome is "not run" only if that is true for all attempts.
error_kind finalError(const attempt_failure &Failure,
                      const attempt_history &History);

} // namespace endiverail
