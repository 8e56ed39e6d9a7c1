#include "process/ejection_ledger.h"

#include <algorithm>

namespace endiverail {
namespace {

bool withinBudget(const service_definition &Definition, std::size_t Ejected) {
  return Definition.MinHealthyServers + Ejected <= Definition.PoolSize;
}

} // namespace

std::set<std::string_view>
ejection_ledger::ejectedServers(std::string_view Service,
                                const entry *Except) const {
  // Counts servers, not claims: two owners may claim the same backend server
  // while their views of the fleet differ.
  std::set<std::string_view> Servers;
  for (const entry &Entry : Entries)
    if (&Entry != Except && Entry.GrantedSequence &&
        Entry.Claim.Service == Service)
      Servers.insert(Entry.Claim.Server);
  return Servers;
}

void ejection_ledger::apply(const ejection_claim &Claim,
                            const service_definition *Definition) {
  // Uses the record's own time, so that all readers remove the same claims at
  // the same offset.
  advance(Claim.LogMilliseconds);
  auto Known = std::ranges::find_if(Entries, [&](const entry &Other) {
    return Other.Claim.Service == Claim.Service &&
           Other.Claim.Server == Claim.Server &&
           Other.Claim.Holder == Claim.Holder;
  });
  if (!Claim.Held) {
    if (Known != Entries.end())
      Entries.erase(Known);
    return;
  }
  if (Known == Entries.end())
    Known = Entries.insert(Entries.end(), entry{Claim, std::nullopt, 0});
  Known->Claim = Claim;
  auto Ejected = ejectedServers(Claim.Service, &*Known);
  Ejected.insert(Claim.Server);
  if (!Definition ||
      !withinBudget(*Definition, Ejected.size() + Claim.Unavailable))
    return;
  Known->GrantedSequence = Claim.Sequence;
  Known->GrantedAt = Claim.LogMilliseconds;
}

void ejection_ledger::advance(std::int64_t LogMilliseconds) {
  auto IsExpired = [&](std::int64_t Start) {
    return Start + Lease.count() < LogMilliseconds;
  };
  for (entry &Entry : Entries)
    if (IsExpired(Entry.GrantedAt))
      Entry.GrantedSequence.reset();
  std::erase_if(Entries, [&](const entry &Entry) {
    return IsExpired(Entry.Claim.LogMilliseconds);
  });
}

std::optional<std::uint64_t>
ejection_ledger::granted(const service_definition &Definition,
                         std::string_view Server,
                         std::string_view Holder) const {
  std::set<std::string_view> GrantedServers;
  for (const entry &Entry : Entries) {
    if (!Entry.GrantedSequence || Entry.Claim.Service != Definition.Name)
      continue;
    GrantedServers.insert(Entry.Claim.Server);
    if (Entry.Claim.Server != Server || Entry.Claim.Holder != Holder)
      continue;
    return withinBudget(Definition, GrantedServers.size())
               ? Entry.GrantedSequence
               : std::nullopt;
  }
  return std::nullopt;
}

std::size_t ejection_ledger::claimCount(std::string_view Service) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [&](const entry &Entry) {
        return Entry.Claim.Service == Service;
      }));
}

} // namespace endiverail
