#include "version/key_successors.h"

namespace endiverail {

key_successors key_successors::build(std::span<const key_successor> Entries) {
  key_successors Successors;
  for (const key_successor &Entry : Entries) {
    key_successor &Known =
        Successors.Latest.try_emplace(Entry.Issuer, Entry).first->second;
    if (Entry.Generation > Known.Generation)
      Known = Entry;
  }
  return Successors;
}

const proxy_incarnation &
key_successors::holderOf(const proxy_incarnation &Issuer) const {
  const key_successor *Entry = find(Issuer);
  return Entry ? Entry->Successor : Issuer;
}

const key_successor *
key_successors::find(const proxy_incarnation &Issuer) const {
  auto Found = Latest.find(Issuer);
  return Found == Latest.end() ? nullptr : &Found->second;
}

} // namespace endiverail
