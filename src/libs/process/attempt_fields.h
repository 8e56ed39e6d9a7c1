#pragma once

#include "connection/backend_attempt.h"
#include "process/active_request.h"
#include "request/caller_request.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Who sends an attempt.
struct attempt_sender {
  std::string ProxyId;
  std::uint64_t Incarnation = 0;
  /// Tells the traffic threads of a process apart.
  std::uint64_t Thread = 0;
  std::string FleetSecret;
};

/// The name under which a backend server knows an attempt; no two attempts of
/// the fleet share one.
std::string attemptName(const attempt_sender &Sender, attempt_id Id);

/// Fields for a backend server: the caller's, the attempt's name, the time
/// left and the rank.
std::vector<header_field> serverFields(const attempt_sender &Sender,
                                       const caller_request &Request,
                                       attempt_id Id, milliseconds Left);

/// Fields for a peer: the caller's and what places the request there. The key
/// goes along only while this proxy does not hold it itself. The peer should
/// have less time than this proxy, so that its answer comes before the end.
std::vector<header_field> peerFields(const attempt_sender &Sender,
                                     const active_request &Active,
                                     milliseconds Left);

/// The head that a caller gets for a backend server's or a peer's answer.
response_head callerHead(const backend_response_head &Head, bool FromPeer);

} // namespace endiverail
