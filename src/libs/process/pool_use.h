#pragma once

#include "version/fleet_view.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace endiverail {

/// Why this process has sent no request to an idle backend server.
enum class idle_reason {
  /// No request has been placed since the server became idle.
  NoRequest,
  /// The server has asked this process to send it nothing for a while.
  Paused,
  /// This process can't connect to the server.
  Unreachable,
  /// All slots and the queue are in use, by this process alone or as reported
  /// by other proxies.
  FullLocally,
  FullRemotely,
  /// The requests sent last are not known to be accepted yet.
  Unconfirmed,
  /// The server has failed the same request before.
  Avoided,
  /// A request is on its way to the server.
  Pending,
  /// No more servers are idle than is allowed.
  WithinLimit,
  /// It is the turn of other entries.
  OtherEntry,
};

inline constexpr std::array IdleReasons{
    idle_reason::NoRequest,    idle_reason::Paused,
    idle_reason::Unreachable,  idle_reason::FullLocally,
    idle_reason::FullRemotely, idle_reason::Unconfirmed,
    idle_reason::Avoided,      idle_reason::Pending,
    idle_reason::WithinLimit,  idle_reason::OtherEntry};

std::string_view idleReasonName(idle_reason Reason);

struct idle_server {
  endpoint_text Server;
  milliseconds IdleFor{0};
  idle_reason Reason = idle_reason::NoRequest;
};

/// Which backend servers of a pool get no requests, as one proxy knows it.
struct pool_use {
  /// Servers that are not leaving.
  std::size_t Servers = 0;
  /// The number of idle servers that was allowed when a request was placed
  /// last.
  double IdleLimit = 0;
  /// Whether many requests of the pool fail.
  bool ManyFail = false;
  /// The servers that are idle, the longest idle first.
  std::vector<idle_server> Idle;
};

} // namespace endiverail
