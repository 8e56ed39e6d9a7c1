#include "version/key_heirs.h"

namespace endiverail {

key_heirs key_heirs::build(std::span<const key_heir> Entries) {
  key_heirs Heirs;
  for (const key_heir &Entry : Entries) {
    key_heir &Known =
        Heirs.Latest.try_emplace(Entry.Issuer, Entry).first->second;
    if (Entry.Generation > Known.Generation)
      Known = Entry;
  }
  return Heirs;
}

const proxy_incarnation &
key_heirs::holderOf(const proxy_incarnation &Issuer) const {
  const key_heir *Entry = find(Issuer);
  return Entry ? Entry->Heir : Issuer;
}

const key_heir *key_heirs::find(const proxy_incarnation &Issuer) const {
  auto Found = Latest.find(Issuer);
  return Found == Latest.end() ? nullptr : &Found->second;
}

} // namespace endiverail
