#include "version/caller_addresses.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace endiverail {
namespace {

/// With fewer daemons the loss of one would be felt by too many callers.
constexpr std::size_t EnoughDaemons = 4;

} // namespace

std::vector<std::string> callerAddresses(const fleet_version &Version,
                                         std::string_view DataCentre,
                                         std::uint64_t Nonce) {
  std::vector<const proxy_member *> Offered;
  for (const proxy_member &Proxy : Version.View.Proxies)
    if (Proxy.Offered &&
        (Proxy.Id != Version.SelfId || (Version.Ready && !Version.Draining)))
      Offered.push_back(&Proxy);
  auto Distant = std::ranges::stable_partition(
      Offered, [&](const proxy_member *Proxy) {
        return Proxy->DataCentre == DataCentre;
      });
  auto Near = static_cast<std::size_t>(Distant.begin() - Offered.begin());
  if (Near >= EnoughDaemons)
    Offered.resize(Near);
  if (Offered.size() > MostCallerAddresses) {
    std::ranges::sort(Offered, {}, [&](const proxy_member *Proxy) {
      return mixHashes(stableHash(Proxy->Id), Nonce);
    });
    Offered.resize(MostCallerAddresses);
  }
  std::vector<std::string> Addresses;
  std::ranges::transform(Offered, std::back_inserter(Addresses),
                         &proxy_member::callerAddress);
  return Addresses;
}

} // namespace endiverail
