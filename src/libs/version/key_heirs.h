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
struct key_heir {
  proxy_incarnation Issuer;
  proxy_incarnation Heir;
  /// Counts the hand-overs since the issuer; the greatest holds.
  std::uint64_t Generation = 0;

  auto operator<=>(const key_heir &) const = default;
};

/// Who holds which keys. Keys without an entry belong to their issuer.
class key_heirs {
public:
  /// Of several entries for one issuer the latest hand-over counts.
  static key_heirs build(std::span<const key_heir> Entries);

  /// The proxy that alone may run and answer the keys of \p Issuer.
  const proxy_incarnation &holderOf(const proxy_incarnation &Issuer) const;

  /// The entry of \p Issuer, or nullptr.
  const key_heir *find(const proxy_incarnation &Issuer) const;

private:
  std::map<proxy_incarnation, key_heir> Latest;
};

} // namespace endiverail
