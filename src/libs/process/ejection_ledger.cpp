#include "process/ejection_ledger.h"

#include <algorithm>

namespace endiverail {
namespace {

bool fits(const service_definition &Definition, std::size_t Missing) {
  return Definition.MinHealthyServers + Missing <= Definition.PoolSize;
}

} // namespace

std::set<std::string_view> ejection_ledger::missing(std::string_view Service,
                                                    const entry *Except) const {
  // Two owners may claim one backend server while their views differ; it is
  // one backend server that is missing all the same.
  std::set<std::string_view> Servers;
  for (const entry &Entry : Entries)
    if (&Entry != Except && Entry.GrantedSequence &&
        Entry.Claim.Service == Service)
      Servers.insert(Entry.Claim.Server);
  return Servers;
}

void ejection_ledger::apply(const ejection_claim &Claim,
                            const service_definition *Definition) {
  // By the record's own time, so that all readers drop the same claims at the
  // same offset.
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
  auto Missing = missing(Claim.Service, &*Known);
  Missing.insert(Claim.Server);
  if (!Definition || !fits(*Definition, Missing.size() + Claim.Unavailable))
    return;
  Known->GrantedSequence = Claim.Sequence;
  Known->GrantedAt = Claim.LogMilliseconds;
}

void ejection_ledger::advance(std::int64_t LogMilliseconds) {
  auto IsOver = [&](std::int64_t Start) {
    return Start + Lease.count() < LogMilliseconds;
  };
  for (entry &Entry : Entries)
    if (IsOver(Entry.GrantedAt))
      Entry.GrantedSequence.reset();
  std::erase_if(Entries, [&](const entry &Entry) {
    return IsOver(Entry.Claim.LogMilliseconds);
  });
}

std::optional<std::uint64_t>
ejection_ledger::granted(const service_definition &Definition,
                         std::string_view Server,
                         std::string_view Holder) const {
  std::set<std::string_view> Earlier;
  for (const entry &Entry : Entries) {
    if (!Entry.GrantedSequence || Entry.Claim.Service != Definition.Name)
      continue;
    Earlier.insert(Entry.Claim.Server);
    if (Entry.Claim.Server != Server || Entry.Claim.Holder != Holder)
      continue;
    return fits(Definition, Earlier.size()) ? Entry.GrantedSequence
                                            : std::nullopt;
  }
  return std::nullopt;
}

std::size_t ejection_ledger::claims(std::string_view Service) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [&](const entry &Entry) {
        return Entry.Claim.Service == Service;
      }));
}

} // namespace endiverail
