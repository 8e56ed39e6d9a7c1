#include "version/caller_addresses.h"

#include "base/hash.h"
#include "version/fleet_roles.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace endiverail {

std::vector<std::string> callerAddresses(const fleet_version &Version,
                                         std::string_view DataCentre,
                                         std::uint64_t Nonce) {
  auto Chosen = entriesOf(Version.View.Proxies, DataCentre);
  if (Chosen.size() < LeastCallerAddresses)
    Chosen = allEntries(Version.View.Proxies);
  std::erase_if(Chosen, [&](const proxy_member *Proxy) {
    return Proxy->Id == Version.SelfId && (!Version.Ready || Version.Draining);
  });
  if (Chosen.size() > MostCallerAddresses) {
    std::ranges::sort(Chosen, {}, [&](const proxy_member *Proxy) {
      return mixHashes(stableHash(Proxy->Id), Nonce);
    });
    Chosen.resize(MostCallerAddresses);
  }
  std::vector<std::string> Addresses;
  std::ranges::transform(Chosen, std::back_inserter(Addresses),
                         &proxy_member::callerAddress);
  return Addresses;
}

} // namespace endiverail
