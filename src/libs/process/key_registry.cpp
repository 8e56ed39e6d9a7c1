#include "process/key_registry.h"

#include <utility>

namespace endiverail {

result<key_admission> key_registry::admit(std::string_view Name,
                                          const idempotency_key &Key,
                                          const fleet_version &Version,
                                          wall_time Wall, steady_time Now) {
  const proxy_incarnation &Holder = Version.KeySuccessors.holderOf(Key.Issuer);
  if (Holder != proxy_incarnation{Version.SelfId, Version.SelfIncarnation}) {
    const proxy_member *Member = Version.View.findProxy(Holder.ProxyId);
    if (!Member || Member->Incarnation != Holder.Incarnation)
      return key_admission{key_decision::HolderUnknown, nullptr, nullptr};
    return key_admission{key_decision::AskHolder, nullptr, Member};
  }
  Outcomes.expire(Now);
  if (!Outcomes.contains(Name))
    BOOST_LEAF_CHECK(checkFirstUse(Key, Wall));
  switch (Outcomes.begin(Name, Key.Issuer, Now)) {
  case key_state::New:
    return key_admission{};
  case key_state::InProgress:
    return fail(error_kind::KeyInProgress,
                "a request with this key is already in progress");
  case key_state::Full:
    return fail(error_kind::MemoryLimit,
                "not enough memory to store another key");
  case key_state::Finished:
    break;
  }
  return key_admission{key_decision::Replay, Outcomes.find(Name), nullptr};
}

result<void> key_registry::checkFirstUse(const idempotency_key &Key,
                                         wall_time Wall) const {
  if (Wall - Key.Issued >= Settings.firstUseWindow() ||
      Key.Issued - Wall > Settings.clockTolerance())
    return fail(
        error_kind::KeyExpired,
        "the time of issue of the key is outside the window for its first use");
  if (IncompleteIssuers.contains(Key.Issuer))
    return fail(
        error_kind::KeyExpired,
        "this proxy does not have all keys of the proxy that issued the key");
  return {};
}

void key_registry::inherit(std::span<const remembered_key> Keys,
                           steady_time Now) {
  for (const remembered_key &Each : Keys)
    if (!Outcomes.inherit(Each, Now))
      IncompleteIssuers.insert(Each.Issuer);
}

} // namespace endiverail
