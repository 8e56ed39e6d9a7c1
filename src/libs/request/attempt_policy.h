#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <cstddef>

namespace endiverail {

/// What is known when an attempt at a backend server has failed.
struct attempt_failure {
  error_kind Kind = error_kind::Internal;
  /// Nothing of the request may have reached the backend server, or its
  /// contract says that this answer means "not run".
  bool ProvenNotRun = false;
  /// A part of the answer is already with the caller.
  bool ResponseStarted = false;
};

/// What is known of the request.
struct attempt_history {
  bool Idempotent = false;
  /// Attempts made, the failed one included.
  std::size_t Attempts = 0;
  /// Attempts whose connection broke while the request ran, the failed one
  /// included: it may be what kills the backend servers.
  std::size_t BrokenConnections = 0;
  /// Whether an earlier attempt may have run the request.
  bool MayHaveRun = false;
  milliseconds TimeLeft{0};
  /// Time that an attempt usually takes.
  milliseconds ExpectedDuration{0};
  bool RetryBudgetLeft = false;
  /// Attempts that the request's kind of work allows.
  std::size_t MaxAttempts = 3;
};

enum class attempt_step {
  /// Try again at another backend server.
  Retry,
  /// Tell the caller the error.
  ReturnError,
  /// Break the caller's connection, as the answer has begun.
  CloseConnection,
};

inline constexpr std::size_t MaxBrokenConnections = 2;

/// Decides what follows a failed attempt. A request that is not idempotent is
/// tried again only when the failed attempt is proven not to have run.
attempt_step nextStep(const attempt_failure &Failure,
                      const attempt_history &History);

/// The error that the caller is told when no further attempt is made: it says
/// "not run" only when that holds for all attempts.
error_kind finalError(const attempt_failure &Failure,
                      const attempt_history &History);

} // namespace endiverail
