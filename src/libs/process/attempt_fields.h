#pragma once

#include "connection/backend_attempt.h"
#include "process/active_request.h"
#include "request/caller_request.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Sender of an attempt.
struct attempt_sender {
  std::string ProxyId;
  std::uint64_t Incarnation = 0;
  /// Distinguishes the traffic threads of a process.
  std::uint64_t Thread = 0;
  std::string FleetSecret;
};

/// Identifier of an attempt in messages to backend servers, unique in the
/// fleet.
std::string attemptIdentifier(const attempt_sender &Sender, attempt_id Id);

/// Header fields for a backend server: the caller's end-to-end fields, the
/// attempt identifier, the remaining time and the rank.
std::vector<header_field> serverFields(const attempt_sender &Sender,
                                       const caller_request &Request,
                                       attempt_id Id, milliseconds Left);

/// Header fields for a peer: the caller's end-to-end fields and those that the
/// peer needs to process the request. The key is included only if this proxy
/// does not hold it. Pass a shorter remaining time than this proxy has, so that
/// the peer's response arrives before the deadline.
std::vector<header_field> peerFields(const attempt_sender &Sender,
                                     const active_request &Active,
                                     milliseconds Left);

/// Converts the head of a backend server's or a peer's response for the caller.
response_head callerHead(const backend_response_head &Head, bool FromPeer);

} // namespace endiverail
