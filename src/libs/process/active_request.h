#pragma once

#include "connection/backend_attempt.h"
#include "process/outcome_table.h"
#include "process/quarantine.h"
#include "process/rank_queue.h"
#include "request/caller_request.h"

#include <optional>
#include <string>

namespace endiverail {

/// An attempt that runs now.
struct running_attempt {
  attempt_id Id = 0;
  endpoint_text Server;
  /// Forwarded to a peer, so it holds no slot here.
  bool ToPeer = false;
  steady_time Started;
  std::optional<backend_head> Head;
  /// How often it was reported as slow.
  std::size_t SlowReports = 0;
};

/// A request on its traffic thread, from its arrival to its answer's end.
struct active_request {
  caller_request Request;
  request_fingerprint Fingerprint = 0;
  std::vector<std::string> Failed;
  std::size_t Attempts = 0;
  std::size_t Cuts = 0;
  bool MayHaveRun = false;
  /// The fleet's key that this request holds in the outcome table.
  bool HoldsKey = false;
  bool CallerGone = false;
  std::optional<running_attempt> Attempt;

  /// Answer that is not passed on yet.
  std::string Buffered;
  bool HeadPosted = false;
  /// Bytes passed on that have not left.
  std::size_t Unwritten = 0;
  bool Paused = false;

  bool repeatable() const { return Request.Kind->Idempotent; }
};

} // namespace endiverail
