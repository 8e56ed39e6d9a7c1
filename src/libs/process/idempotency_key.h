#pragma once

#include "base/time.h"
#include "version/key_successors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// An idempotency key, which ensures that a request runs at most once. It names
/// the proxy and the incarnation that may run the request, so that no shared
/// store is needed to agree on that. The format is
/// "proxy~incarnation~issued~nonce~mac", issued by a proxy, followed by
/// "~number", appended by the caller.
struct idempotency_key {
  proxy_incarnation Issuer;
  /// Time of issue by the issuer's clock, in whole milliseconds.
  wall_time Issued;

  /// Parses a complete key. Returns nothing if the fleet did not issue it.
  static std::optional<idempotency_key> parse(std::string_view Key,
                                              std::string_view FleetSecret);

  /// Issues the prefix that callers complete to a key.
  static std::string issuePrefix(const proxy_incarnation &Issuer,
                                 wall_time Issued, std::string_view Nonce,
                                 std::string_view FleetSecret);
};

/// Creates the token with which a forwarding proxy authenticates itself.
std::string hopToken(std::string_view ProxyId, std::string_view Method,
                     std::string_view Target, std::string_view FleetSecret);

/// Returns whether \p Token was created by a proxy that knows the fleet secret.
bool verifyHopToken(std::string_view Token, std::string_view Method,
                    std::string_view Target, std::string_view FleetSecret);

} // namespace endiverail
