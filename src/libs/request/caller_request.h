#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "request/request_arrival.h"
#include "version/configuration.h"
#include "version/organisation_table.h"
#include "version/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Unique within the process.
using request_id = std::uint64_t;

struct header_field {
  std::string Name;
  std::string Value;
};

/// Returns the value of the first field called \p Name, ignoring case; empty if
/// there is none.
std::string_view findHeader(std::span<const header_field> Fields,
                            std::string_view Name);

/// Identifies the connection and the request that a response belongs to.
struct response_handle {
  /// Index of the connection thread.
  std::size_t Worker = 0;
  /// Never reused within the process.
  std::uint64_t Connection = 0;
  /// Sequence number of the request on the connection.
  std::uint64_t Sequence = 0;

  bool operator==(const response_handle &) const = default;
};

/// A caller's request, decoded and assigned to a service. It owns all of its
/// data.
struct caller_request {
  request_id Id = 0;
  /// Request id set by the caller, for logging; may be empty.
  std::string Name{};
  response_handle ResponseHandle;
  std::string Method;
  /// Path with query.
  std::string Target;
  std::vector<header_field> Headers;
  std::string Body;

  /// Keeps the service definition alive as long as the request.
  accepted_service_ref Service;
  /// Set if the service was found by a route; kept alive as long as the
  /// request.
  route_table_ref Routes;
  /// Points into Routes if that is set, otherwise into Service.
  const work_kind *Kind = nullptr;
  /// Name of the caller's organisation; empty if it is not known.
  std::string Organisation;
  /// Rank of that organisation, which goes before that of the kind of work.
  std::optional<rank> OrganisationRank{};
  /// Weight of that organisation's share when there is too little room.
  double OrganisationWeight = 1;
  /// Whether the request's route needs no access key.
  bool Public = false;
  /// Hash of the access key by which the organisation was recognised.
  std::optional<access_key_hash> AccessKeyHash{};
  std::string Key;
  /// True if a peer has forwarded the request; it is never forwarded again.
  bool Forwarded = false;
  /// Backend server that a peer asks to try with this request; may be empty.
  std::string TryServer;
  request_arrival Arrival{};
  /// When the whole request had been read.
  steady_time ReadAt;
  steady_time Deadline;

  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// The head of a response to a caller.
struct response_head {
  int Status = 200;
  outcome Outcome = outcome::Done;
  std::vector<header_field> Headers;
  /// Length of the body, if known in advance.
  std::optional<std::uint64_t> Length;
};

/// Whether a response with this status has a body unless it answers HEAD.
constexpr bool mayHaveBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace endiverail
