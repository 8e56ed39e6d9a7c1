#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace endiverail {

/// One life of a proxy, from its start to its end.
struct proxy_incarnation {
  std::string ProxyId;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const proxy_incarnation &) const = default;
};

/// Tells who holds the keys that a proxy issued before it ended gracefully.
struct key_successor {
  proxy_incarnation Issuer;
  proxy_incarnation Successor;
  /// Counts the hand-overs since the issuer; the greatest holds.
  std::uint64_t Generation = 0;

  auto operator<=>(const key_successor &) const = default;
};

/// Who holds which keys. Keys without an entry belong to their issuer.
class key_successors {
public:
  /// Of several entries for one issuer the latest hand-over counts.
  static key_successors build(std::span<const key_successor> Entries);

  /// The proxy that alone may run and answer the keys of \p Issuer.
  const proxy_incarnation &holderOf(const proxy_incarnation &Issuer) const;

  /// The entry of \p Issuer, or nullptr.
  const key_successor *find(const proxy_incarnation &Issuer) const;

private:
  std::map<proxy_incarnation, key_successor> Latest;
};

} // namespace endiverail
