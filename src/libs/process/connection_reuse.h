#pragma once

#include "connection/backend_connection.h"
#include "process/expiring_set.h"
#include "version/fleet_view.h"

#include <cstddef>
#include <string_view>

namespace endiverail {

/// Decides whether a request may use a pooled connection to a backend server.
/// A server may close or forget an idle connection without notice. A request
/// that is sent on it is lost and needs a retry from the budget, so that a pool
/// whose servers do this gets new connections only, for a while.
class connection_reuse {
public:
  /// How long new connections are used after a pooled one was stale.
  static constexpr milliseconds FreshFor{10'000};
  /// Number of servers with stale connections from which on the whole pool is
  /// assumed to have them.
  static constexpr std::size_t StaleServersOfPool = 2;

  /// A pooled connection to the server was closed when a request was sent on
  /// it.
  void onStale(const endpoint_text &Server, steady_time Now) {
    Stale.insert(Server, Now);
  }

  connection_choice choose(std::string_view Server, bool Idempotent,
                           steady_time Now) {
    Stale.expire(Now);
    if (Stale.contains(Server) || Stale.size() >= StaleServersOfPool)
      return connection_choice::Fresh;
    return connectionFor(Idempotent);
  }

private:
  static constexpr std::size_t MaxServers = 256;

  expiring_set<endpoint_text> Stale{FreshFor, MaxServers};
};

} // namespace endiverail
