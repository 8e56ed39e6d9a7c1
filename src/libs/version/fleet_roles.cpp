#include "version/fleet_roles.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>

namespace endiverail {
namespace {

/// Members in an order that looks random and is the same everywhere.
std::vector<const proxy_member *>
inRendezvousOrder(std::span<const proxy_member> Members,
                  std::string_view Purpose) {
  std::vector<const proxy_member *> Order;
  for (const proxy_member &Member : Members)
    if (Member.Offered)
      Order.push_back(&Member);
  std::ranges::sort(Order, {}, [&](const proxy_member *Member) {
    return stableHash(Purpose, Member->Id);
  });
  return Order;
}

std::set<std::string, std::less<>>
dataCentresOf(std::span<const proxy_member> Members) {
  std::set<std::string, std::less<>> Names;
  for (const proxy_member &Member : Members)
    Names.insert(Member.DataCentre);
  return Names;
}

} // namespace

std::vector<const proxy_member *>
entriesOf(std::span<const proxy_member> Members, std::string_view DataCentre) {
  std::vector<const proxy_member *> Chosen;
  for (const proxy_member *Member : inRendezvousOrder(Members, "entry"))
    if (Member->DataCentre == DataCentre &&
        Chosen.size() < EntriesPerDataCentre)
      Chosen.push_back(Member);
  return Chosen;
}

std::vector<const proxy_member *>
allEntries(std::span<const proxy_member> Members) {
  std::vector<const proxy_member *> Chosen;
  for (const std::string &Name : dataCentresOf(Members))
    std::ranges::copy(entriesOf(Members, Name), std::back_inserter(Chosen));
  return Chosen;
}

std::vector<std::string> storeReaders(std::span<const proxy_member> Members) {
  auto Order = inRendezvousOrder(Members, "reader");
  std::vector<std::string> Readers;
  std::set<std::string_view> DataCentres;
  for (const proxy_member *Member : Order)
    if (Readers.size() < StoreReaders &&
        DataCentres.insert(Member->DataCentre).second)
      Readers.push_back(Member->Id);
  for (const proxy_member *Member : Order)
    if (Readers.size() < StoreReaders &&
        std::ranges::find(Readers, Member->Id) == Readers.end())
      Readers.push_back(Member->Id);
  return Readers;
}

} // namespace endiverail
