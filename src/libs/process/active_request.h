#pragma once

#include "connection/backend_attempt.h"
#include "process/memory_budget.h"
#include "process/outcome_table.h"
#include "process/quarantine.h"
#include "process/rank_queue.h"
#include "request/caller_request.h"

#include <optional>
#include <string>

namespace endiverail {

/// Destination of an attempt.
enum class attempt_route {
  /// A backend server, using one of its slots.
  Slot,
  /// A backend server whose owner, another proxy, wants its failure confirmed.
  Trial,
  /// Another proxy.
  Peer,
};

struct attempt_target {
  endpoint_text Server;
  attempt_route Route = attempt_route::Slot;
  /// Backend server whose failure the peer is asked to confirm, if any.
  endpoint_text ServerToConfirm;
  /// Instance expected at the address, if known.
  std::string Instance;
  /// Inputs of the scheduling decision: the estimated probability that the
  /// server fails the request, and its slots in use by the whole fleet.
  double FailureProbability = 0;
  std::size_t SlotsUsed = 0;
  std::size_t Slots = 0;
  /// Start of that instance in milliseconds since the Unix epoch; 0 if unknown.
  std::int64_t Started = 0;

  /// Expected duration relative to the processing time alone. It exceeds 1 when
  /// more requests are at the server than it has slots.
  double queueingFactor() const {
    return Slots == 0 || SlotsUsed <= Slots
               ? 1.0
               : static_cast<double>(SlotsUsed) / static_cast<double>(Slots);
  }
};

/// Status and identifier of a response that was rejected.
struct rejected_response {
  int Status = 0;
  std::string Identifier;
};

/// An attempt in progress.
struct running_attempt {
  attempt_id Id = 0;
  attempt_target Target;
  steady_time Started;
  std::optional<backend_response_head> Head;
  std::size_t SlowReports = 0;
  /// The scheduler has been told that the server accepted the attempt.
  bool Accepted = false;
  /// Error that the peer reported for the backend server.
  std::optional<error_kind> PeerError;
  /// The connection is established and the request is being sent.
  bool Connected = false;
  /// The pooled connection was closed before the request arrived.
  bool StaleConnection = false;
  /// Known once the attempt has ended.
  attempt_connection Connection{};
  std::optional<rejected_response> Rejected{};
  /// The backend server has turned the request away and asked for a pause.
  bool AskedForPause = false;

  bool goesToPeer() const { return Target.Route == attempt_route::Peer; }
};

/// A request on its traffic thread, from its arrival to the end of its
/// response.
struct active_request {
  caller_request Request;
  /// When the traffic thread got the request.
  steady_time TakenUp;
  request_fingerprint Fingerprint = 0;
  std::vector<std::string> FailedServers;
  std::size_t Attempts = 0;
  std::size_t BrokenConnections = 0;
  bool MayHaveRun = false;
  /// Why the last failed attempt is not followed by another one.
  std::optional<retry_obstacle> RetryObstacle{};
  /// The request's key is registered in the outcome table for this request.
  bool HoldsKey = false;
  std::size_t HolderRetries = 0;
  bool CallerGone = false;
  /// The request is counted against its organisation's quota.
  bool CountsForQuota = false;
  /// When the caller may come back, if that is known for this request.
  std::optional<milliseconds> RetryAfter{};
  std::optional<running_attempt> Attempt;

  /// Part of the response that has not been forwarded yet.
  std::string Buffered;
  std::optional<memory_hold> BufferedHold{};
  bool HeadSent = false;
  /// Bytes forwarded but not yet written to the caller's connection.
  std::size_t UnwrittenBytes = 0;
  bool Paused = false;

  bool isIdempotent() const { return Request.Kind->Idempotent; }
};

} // namespace endiverail
