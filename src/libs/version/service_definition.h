#pragma once

#include "base/time.h"
#include "version/path_pattern.h"
#include "version/rank.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A class of requests to a service, identified by method and path.
struct work_kind {
  std::string Name;
  std::string Method;
  path_pattern Path;
  rank Rank = rank::Normal;
  /// Whether executing the request twice has the same effect as once.
  bool Idempotent = false;
  /// Responses up to this time count as on time.
  milliseconds LatencyTarget{500};
  /// The request is aborted after this time.
  milliseconds Timeout{5000};
  /// Occupies a slot for a long time, so it must not borrow slots of a more
  /// urgent rank.
  bool Bulk = false;
  /// Maximum number of backend servers that a request is sent to, one after the
  /// other.
  std::size_t MaxAttempts = 3;
};

/// The definition of one service, as read from an operator's file.
struct service_definition {
  /// Also the first segment of all paths of the service.
  std::string Name;
  /// Name of its pool of backend servers in the host list.
  std::string Pool;
  /// Number of backend servers in the complete pool.
  std::size_t PoolSize = 0;
  /// Minimum number of healthy backend servers. Ejections must not reduce the
  /// pool below it.
  std::size_t MinHealthyServers = 0;
  /// Number of proxies that own its backend servers.
  std::size_t Owners = 2;
  /// Number of concurrent requests per backend server.
  std::size_t SlotsPerServer = 6;
  /// Guaranteed share of the slots in percent, by rank.
  per_rank<std::size_t> SharePercent{60, 25, 10};
  /// Maximum number of queued requests, by rank.
  per_rank<std::size_t> QueueLimit{200, 200, 100};
  std::vector<work_kind> Kinds;

  /// Returns the first kind of work that matches a request, or nullptr if there
  /// is none.
  const work_kind *findKind(std::string_view Method,
                            std::string_view Path) const;
};

} // namespace endiverail
