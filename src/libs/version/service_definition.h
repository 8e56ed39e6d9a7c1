#pragma once

#include "base/time.h"
#include "version/path_pattern.h"
#include "version/rank.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A kind of work within a service, told apart by method and path.
struct work_kind {
  std::string Name;
  std::string Method;
  path_pattern Path;
  rank Rank = rank::Normal;
  /// Whether running the request twice is as good as once.
  bool Idempotent = false;
  /// When an answer counts as in time.
  milliseconds Target{500};
  /// After this the request is given up.
  milliseconds Timeout{5000};
  /// Holds a slot for long, so it never borrows slots of a more urgent rank.
  bool Bulk = false;
  /// Backend servers that one request may be sent to, one after the other.
  std::size_t MaxAttempts = 3;
};

/// What an operator's file says of one service.
struct service_definition {
  /// Also the first segment of each of its paths.
  std::string Name;
  /// The pool in the host list that serves it.
  std::string Pool;
  /// Backend servers in the pool when all are there.
  std::size_t PoolSize = 0;
  /// Healthy backend servers below which no ejection goes.
  std::size_t Floor = 0;
  /// Proxies that own its backend servers.
  std::size_t Owners = 2;
  /// Requests a backend server runs at once.
  std::size_t SlotsPerServer = 6;
  /// Guaranteed share of the slots, in percent, by rank.
  per_rank<std::size_t> SharePercent{60, 25, 10};
  /// Requests that may wait, by rank.
  per_rank<std::size_t> QueueLimit{200, 200, 100};
  std::vector<work_kind> Kinds;

  /// The kind of work that a request is, or nullptr.
  const work_kind *findKind(std::string_view Method,
                            std::string_view Path) const;
};

} // namespace endiverail
