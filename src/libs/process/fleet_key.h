#pragma once

#include "base/time.h"
#include "version/key_successors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// A key that makes a request run at most once. It names the proxy and its
/// incarnation that may run it, so nobody needs a store to agree on that:
/// "proxy~incarnation~issued~nonce~mac" from a proxy, then "~number" from the
/// caller.
struct fleet_key {
  proxy_incarnation Issuer;
  /// By the clock of the proxy that gave it out, in whole milliseconds.
  wall_time Issued;

  /// Reads a whole key; nothing when it is not one that the fleet issued.
  static std::optional<fleet_key> parse(std::string_view Key,
                                        std::string_view FleetSecret);

  /// Issues the part that callers complete.
  static std::string issuePrefix(const proxy_incarnation &Issuer,
                                 wall_time Issued, std::string_view Nonce,
                                 std::string_view FleetSecret);
};

/// The value that a forwarding proxy proves itself with.
std::string hopProof(std::string_view ProxyId, std::string_view Method,
                     std::string_view Target, std::string_view FleetSecret);

/// Whether \p Proof came from a proxy that knows the fleet's secret.
bool checkHopProof(std::string_view Proof, std::string_view Method,
                   std::string_view Target, std::string_view FleetSecret);

} // namespace endiverail
