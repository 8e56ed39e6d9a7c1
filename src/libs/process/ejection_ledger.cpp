#include "process/ejection_ledger.h"

#include <algorithm>
#include <ranges>
#include <set>

namespace endiverail {

void ejection_ledger::apply(const ejection_claim &Claim) {
  // By the record's own time, so that all readers drop the same claims at the
  // same offset.
  advance(Claim.LogMilliseconds);
  auto Known = std::ranges::find_if(Claims, [&](const ejection_claim &Other) {
    return Other.Service == Claim.Service && Other.Server == Claim.Server &&
           Other.Holder == Claim.Holder;
  });
  if (!Claim.Held) {
    if (Known != Claims.end())
      Claims.erase(Known);
    return;
  }
  if (Known == Claims.end()) {
    Claims.push_back(Claim);
    return;
  }
  Known->LogMilliseconds = Claim.LogMilliseconds;
  Known->Unavailable = Claim.Unavailable;
}

void ejection_ledger::advance(std::int64_t LogMilliseconds) {
  std::erase_if(Claims, [&](const ejection_claim &Claim) {
    return Claim.LogMilliseconds + Lease.count() < LogMilliseconds;
  });
}

bool ejection_ledger::granted(const service_definition &Definition,
                              std::string_view Server,
                              std::string_view Holder) const {
  // Two owners may claim one backend server while their views differ; it is
  // one backend server that is missing all the same.
  std::set<std::string_view> Missing;
  for (const ejection_claim &Claim : Claims) {
    if (Claim.Service != Definition.Name)
      continue;
    bool Fits = Missing.contains(Claim.Server) ||
                Definition.Floor + Missing.size() + Claim.Unavailable + 1 <=
                    Definition.PoolSize;
    if (Fits)
      Missing.insert(Claim.Server);
    if (Claim.Server == Server && Claim.Holder == Holder)
      return Fits;
  }
  return false;
}

std::size_t ejection_ledger::claims(std::string_view Service) const {
  return static_cast<std::size_t>(std::ranges::count(
      Claims, Service,
      [](const ejection_claim &Claim) -> std::string_view {
        return Claim.Service;
      }));
}

} // namespace endiverail
