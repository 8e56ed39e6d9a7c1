#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace endiverail {

/// Identifies one run of a proxy process.
struct proxy_incarnation {
  std::string ProxyId;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const proxy_incarnation &) const = default;
};

/// Names the proxy that took over the keys issued by a proxy that has shut down
/// gracefully.
struct key_successor {
  proxy_incarnation Issuer;
  proxy_incarnation Successor;
  /// Number of hand-overs since the issuer; the highest generation is valid.
  std::uint64_t Generation = 0;

  auto operator<=>(const key_successor &) const = default;
};

/// Maps the issuers of keys to their current holders. Keys of an issuer without
/// an entry are held by the issuer.
class key_successors {
public:
  /// If there are several entries for an issuer, the one with the highest
  /// generation is used.
  static key_successors build(std::span<const key_successor> Entries);

  /// Returns the only proxy that may process requests with keys of \p Issuer.
  const proxy_incarnation &holderOf(const proxy_incarnation &Issuer) const;

  /// Returns the entry for \p Issuer, or nullptr if there is none.
  const key_successor *find(const proxy_incarnation &Issuer) const;

private:
  std::map<proxy_incarnation, key_successor> Latest;
};

} // namespace endiverail
