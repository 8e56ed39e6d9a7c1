#include "version/fleet_roles.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <ranges>
#include <set>

namespace endiverail {
namespace {

/// Typical time that a backend server spends on a request. The users' data
/// sheets give 380 to 640 ms.
constexpr double TypicalServiceSeconds = 0.5;
/// Typical load from callers, as a share of the capacity of the backend
/// servers: slightly more than half.
constexpr double TypicalUtilisation = 0.6;

/// Sorts the offered members by rendezvous hash: a pseudorandom order that is
/// identical on all members.
std::vector<const proxy_member *>
inRendezvousOrder(std::span<const proxy_member> Members,
                  std::string_view Purpose) {
  std::vector<const proxy_member *> Sorted;
  for (const proxy_member &Member : Members)
    if (Member.Offered)
      Sorted.push_back(&Member);
  std::ranges::sort(Sorted, {}, [&](const proxy_member *Member) {
    return stableHash(Purpose, Member->Id);
  });
  return Sorted;
}

std::set<std::string, std::less<>>
dataCentresOf(std::span<const proxy_member> Members) {
  std::set<std::string, std::less<>> Names;
  for (const proxy_member &Member : Members)
    Names.insert(Member.DataCentre);
  return Names;
}

} // namespace

request_rate requiredRequestRate(const fleet_view &View) {
  std::size_t Slots = std::transform_reduce(
      View.Servers.begin(), View.Servers.end(), std::size_t{0}, std::plus{},
      [](const backend_server &Server) {
        return std::max<std::size_t>(1, Server.Slots);
      });
  request_rate Answered = static_cast<double>(Slots) / TypicalServiceSeconds;
  auto DataCentres =
      std::max<std::size_t>(1, dataCentresOf(View.Proxies).size());
  return Answered * TypicalUtilisation / static_cast<double>(DataCentres);
}

std::vector<const proxy_member *>
chooseEntries(std::span<const proxy_member> Members,
              std::string_view DataCentre, request_rate RequiredRate) {
  auto Sorted = inRendezvousOrder(Members, "entry");
  std::erase_if(Sorted, [&](const proxy_member *Member) {
    return Member->DataCentre != DataCentre;
  });
  std::ranges::stable_sort(Sorted, std::greater{}, &proxy_member::Capacity);
  request_rate Carried = 0;
  std::size_t Count = 0;
  // Hosts of unknown capacity sort last. Adding more of them would not increase
  // the known total capacity.
  while (Count < Sorted.size() &&
         (Count < MinEntriesPerDataCentre ||
          (Carried < RequiredRate && Sorted[Count]->Capacity > 0)))
    Carried += Sorted[Count++]->Capacity;
  Sorted.resize(Count);
  return Sorted;
}

std::vector<const proxy_member *>
chooseAllEntries(std::span<const proxy_member> Members,
                 request_rate RequiredRate) {
  std::vector<const proxy_member *> Chosen;
  for (const std::string &Name : dataCentresOf(Members))
    std::ranges::copy(chooseEntries(Members, Name, RequiredRate),
                      std::back_inserter(Chosen));
  return Chosen;
}

std::vector<std::string>
chooseStoreReaders(std::span<const proxy_member> Members) {
  auto Sorted = inRendezvousOrder(Members, "reader");
  std::ranges::stable_sort(Sorted, std::greater{}, &proxy_member::Capacity);
  std::vector<std::string> Readers;
  std::set<std::string_view> DataCentres;
  for (const proxy_member *Member : Sorted)
    if (Readers.size() < StoreReaderCount &&
        DataCentres.insert(Member->DataCentre).second)
      Readers.push_back(Member->Id);
  for (const proxy_member *Member : Sorted)
    if (Readers.size() < StoreReaderCount &&
        std::ranges::find(Readers, Member->Id) == Readers.end())
      Readers.push_back(Member->Id);
  return Readers;
}

} // namespace endiverail
