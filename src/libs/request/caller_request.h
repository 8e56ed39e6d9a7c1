#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "version/configuration.h"
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

/// Value of the first field called \p Name, without regard to case; empty when
/// there is none.
std::string_view findHeader(std::span<const header_field> Fields,
                            std::string_view Name);

/// The connection and the request on it that an answer belongs to.
struct response_handle {
  /// Index of the connection thread.
  std::size_t Worker = 0;
  /// Never used again within the process.
  std::uint64_t Connection = 0;
  /// Counts the requests of the connection.
  std::uint64_t Sequence = 0;

  bool operator==(const response_handle &) const = default;
};

/// One caller's request, decoded and placed. It owns all that it needs.
struct caller_request {
  request_id Id = 0;
  /// The caller's name for the request, for logs; may be empty.
  std::string Name{};
  response_handle ResponseHandle;
  std::string Method;
  /// Path with query.
  std::string Target;
  std::vector<header_field> Headers;
  std::string Body;

  /// The service's definition stays alive as long as the request.
  accepted_service_ref Service;
  /// Set when a route led to the service; stays alive as long as the request.
  route_table_ref Routes;
  /// Points into Service, or into Routes where that is set.
  const work_kind *Kind = nullptr;
  std::string Organisation;
  std::string Key;
  /// True when a peer forwarded it; it is never forwarded again.
  bool Forwarded = false;
  /// The backend server that a peer wants tried with this request, if any.
  std::string TryServer;
  steady_time Arrived;
  steady_time Deadline;

  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// Head of an answer to a caller.
struct response_head {
  int Status = 200;
  outcome Outcome = outcome::Done;
  std::vector<header_field> Headers;
  /// Length of the body where it is known before the end.
  std::optional<std::uint64_t> Length;
};

} // namespace endiverail
