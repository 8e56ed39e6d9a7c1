#include "version/caller_addresses.h"

#include "base/hash.h"
#include "version/fleet_roles.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>

namespace endiverail {
namespace {

/// Includes each entry with a probability proportional to its capacity. Callers
/// choose uniformly among the addresses of a response, so a host with half the
/// capacity of the largest one has to appear in half of the responses.
std::vector<const proxy_member *>
sampleByCapacity(std::span<const proxy_member *const> Entries,
                 std::uint64_t Nonce) {
  std::uint32_t MaxCapacity = 0;
  for (const proxy_member *Entry : Entries)
    MaxCapacity = std::max(MaxCapacity, Entry->Capacity);
  constexpr std::uint64_t Scale = 1'000'000;
  std::vector<const proxy_member *> Chosen;
  std::ranges::copy_if(
      Entries, std::back_inserter(Chosen), [&](const proxy_member *Entry) {
        std::uint64_t Draw = mixHashes(stableHash(Entry->Id), Nonce) % Scale;
        return Draw * MaxCapacity < Scale * Entry->Capacity || MaxCapacity == 0;
      });
  if (Chosen.size() < MinCallerAddresses)
    return {Entries.begin(), Entries.end()};
  return Chosen;
}

} // namespace

std::vector<std::string> callerAddresses(const fleet_version &Version,
                                         std::string_view DataCentre,
                                         std::uint64_t Nonce) {
  request_rate RequiredRate = requiredRequestRate(Version.View);
  auto Chosen = chooseEntries(Version.View.Proxies, DataCentre, RequiredRate);
  if (Chosen.size() < MinCallerAddresses)
    Chosen = chooseAllEntries(Version.View.Proxies, RequiredRate);
  std::erase_if(Chosen, [&](const proxy_member *Proxy) {
    return Proxy->Id == Version.SelfId && (!Version.Ready || Version.Draining);
  });
  Chosen = sampleByCapacity(Chosen, Nonce);
  if (Chosen.size() > MaxCallerAddresses) {
    std::ranges::sort(Chosen, {}, [&](const proxy_member *Proxy) {
      return mixHashes(stableHash(Proxy->Id), Nonce);
    });
    Chosen.resize(MaxCallerAddresses);
  }
  std::vector<std::string> Addresses;
  std::ranges::transform(Chosen, std::back_inserter(Addresses),
                         &proxy_member::callerAddress);
  return Addresses;
}

} // namespace endiverail
