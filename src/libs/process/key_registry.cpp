#include "process/key_registry.h"

#include <utility>

namespace endiverail {

result<key_admission> key_registry::admit(std::string_view Name,
                                          const fleet_key &Key,
                                          const fleet_version &Version,
                                          wall_time Wall, steady_time Now) {
  const proxy_incarnation &Holder = Version.KeySuccessors.holderOf(Key.Issuer);
  if (Holder != proxy_incarnation{Version.SelfId, Version.SelfIncarnation}) {
    const proxy_member *Member = Version.View.findProxy(Holder.ProxyId);
    if (!Member || Member->Incarnation != Holder.Incarnation)
      return key_admission{key_verdict::HolderUnknown, nullptr, nullptr};
    return key_admission{key_verdict::AskHolder, nullptr, Member};
  }
  Outcomes.expire(Now);
  if (!Outcomes.contains(Name))
    BOOST_LEAF_CHECK(checkFresh(Key, Wall));
  switch (Outcomes.begin(Name, Key.Issuer, Now)) {
  case key_state::Fresh:
    return key_admission{};
  case key_state::InProgress:
    return fail(error_kind::KeyInProgress,
                "a request with this key is in progress");
  case key_state::Full:
    return fail(error_kind::MemoryLimit, "no room to remember another key");
  case key_state::Finished:
    break;
  }
  return key_admission{key_verdict::Replay, Outcomes.find(Name), nullptr};
}

result<void> key_registry::checkFresh(const fleet_key &Key,
                                      wall_time Wall) const {
  if (Wall - Key.Issued >= Settings.firstUse() ||
      Key.Issued - Wall > Settings.clockTolerance())
    return fail(error_kind::KeyExpired,
                "the key's time for a first use is over");
  if (PartlyKnown.contains(Key.Issuer))
    return fail(error_kind::KeyExpired,
                "not all keys of the proxy that issued it are known here");
  return {};
}

void key_registry::inherit(std::span<const remembered_key> Keys,
                           steady_time Now) {
  for (const remembered_key &Each : Keys)
    if (!Outcomes.inherit(Each, Now))
      PartlyKnown.insert(Each.Issuer);
}

} // namespace endiverail
