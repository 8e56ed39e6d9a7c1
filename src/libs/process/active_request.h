#pragma once

#include "connection/backend_attempt.h"
#include "process/outcome_table.h"
#include "process/quarantine.h"
#include "process/rank_queue.h"
#include "request/caller_request.h"

#include <optional>
#include <string>

namespace endiverail {

/// Where an attempt goes.
enum class attempt_route {
  /// To a backend server, in one of its slots.
  Slot,
  /// To a backend server of another proxy, which wants an opinion of it.
  Trial,
  /// To another proxy.
  Peer,
};

struct attempt_target {
  endpoint_text Server;
  attempt_route Route = attempt_route::Slot;
  /// The backend server of which the peer's opinion is wanted, if any.
  endpoint_text OpinionOf;
  /// The instance that is expected at the address, where it is known.
  std::string Instance;
  /// What decided for the server: the chance that it fails, and the slots that
  /// the fleet used there.
  double Doubt = 0;
  std::size_t SlotsUsed = 0;
  std::size_t Slots = 0;

  /// How many times its usual work a request may be expected to take there,
  /// as it waits behind those that have the slots.
  double waitFactor() const {
    return Slots == 0 || SlotsUsed <= Slots
               ? 1.0
               : static_cast<double>(SlotsUsed) / static_cast<double>(Slots);
  }
};

/// An attempt that runs now.
struct running_attempt {
  attempt_id Id = 0;
  attempt_target Target;
  steady_time Started;
  std::optional<backend_response_head> Head;
  /// How often it was reported as slow.
  std::size_t SlowReports = 0;
  /// Whether it was noted that the server has accepted it.
  bool Accepted = false;
  /// What the peer found of the backend server, when that was an error.
  std::optional<error_kind> PeerFound;

  bool fromPeer() const { return Target.Route == attempt_route::Peer; }
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
  std::size_t HolderRetries = 0;
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
