#include "process/ejection_holder.h"

#include <algorithm>
#include <utility>

namespace endiverail {

ejection_holder::held_ejection *ejection_holder::find(std::string_view Service,
                                                      std::string_view Server) {
  auto Found = std::ranges::find_if(Ejections, [&](const held_ejection &Held) {
    return Held.Service == Service && Held.Server == Server;
  });
  return Found == Ejections.end() ? nullptr : &*Found;
}

void ejection_holder::claim(held_ejection &Ejection, std::size_t Unavailable,
                            steady_time Now, control_actions &Out) {
  ejection_claim Claim;
  Claim.Service = Ejection.Service;
  Claim.Server = Ejection.Server;
  Claim.Holder = Holder;
  Claim.Sequence = NextSequence++;
  Claim.Unavailable = Unavailable;
  Ejection.ClaimedAt[Claim.Sequence] = Now;
  Ejection.LastClaim = Now;
  Out.emplace_back(append_log{std::move(Claim)});
}

void ejection_holder::want(const ejection_request &Wish,
                           const ejection_terms &Terms, steady_time Now,
                           control_actions &Out) {
  if (held_ejection *Known = find(Wish.Service, Wish.Server)) {
    Known->LastWish = Now;
    return;
  }
  if (!Terms.Definition || !Terms.Owned)
    return;
  Events.note(event_kind::ServerSuspected, Wish.Service, Wish.Server, "");
  held_ejection &Added = Ejections.emplace_back();
  Added.Service = Wish.Service;
  Added.Server = Wish.Server;
  Added.LastWish = Now;
  claim(Added, Terms.Unavailable, Now, Out);
}

void ejection_holder::release(held_ejection &Ejection, std::string_view Why,
                              control_actions &Out) {
  ejection_claim Claim;
  Claim.Service = Ejection.Service;
  Claim.Server = Ejection.Server;
  Claim.Holder = Holder;
  Claim.Sequence = NextSequence++;
  Claim.Held = false;
  Out.emplace_back(append_log{std::move(Claim)});
  Ejection.Over = true;
  if (!std::exchange(Ejection.InForce, false))
    return;
  Events.note(event_kind::ServerReturned, Ejection.Service, Ejection.Server,
              std::string(Why));
  Out.emplace_back(tell_traffic{
      ejection_changed{Ejection.Service, Ejection.Server, std::nullopt}});
}

void ejection_holder::giveBack(const ejection_request &Wish,
                               control_actions &Out) {
  if (held_ejection *Known = find(Wish.Service, Wish.Server)) {
    release(*Known, "its trials went well", Out);
    std::erase_if(Ejections, [](const held_ejection &E) { return E.Over; });
  }
}

void ejection_holder::giveAllBack(control_actions &Out) {
  for (held_ejection &Ejection : Ejections)
    release(Ejection, "the proxy ends", Out);
  Ejections.clear();
}

void ejection_holder::reviewOne(held_ejection &Ejection,
                                const ejection_terms &Terms, steady_time Now,
                                control_actions &Out) {
  auto Sequence = Terms.Definition ? Ledger.granted(*Terms.Definition,
                                                    Ejection.Server, Holder)
                                   : std::nullopt;
  auto Claimed =
      Sequence ? Ejection.ClaimedAt.find(*Sequence) : Ejection.ClaimedAt.end();
  if (Claimed == Ejection.ClaimedAt.end()) {
    if (std::exchange(Ejection.InForce, false)) {
      Events.note(event_kind::ServerReturned, Ejection.Service, Ejection.Server,
                  "the budget has shrunk");
      Out.emplace_back(tell_traffic{
          ejection_changed{Ejection.Service, Ejection.Server, std::nullopt}});
    }
    return;
  }
  // Counted from before the append, so the lease on the log ends later.
  steady_time Until =
      Claimed->second + ejection_ledger::Lease - ejection_ledger::HolderMargin;
  if (Until <= Now || (Ejection.InForce && Until == Ejection.Until))
    return;
  Ejection.Until = Until;
  if (!std::exchange(Ejection.InForce, true))
    Events.note(event_kind::ServerEjected, Ejection.Service, Ejection.Server,
                "");
  Out.emplace_back(
      tell_traffic{ejection_changed{Ejection.Service, Ejection.Server, Until}});
}

void ejection_holder::renewOne(held_ejection &Ejection,
                               const ejection_terms &Terms, steady_time Now,
                               control_actions &Out) {
  std::erase_if(Ejection.ClaimedAt, [&](const auto &Entry) {
    return Now - Entry.second > ejection_ledger::Lease;
  });
  if (Ejection.InForce && Now >= Ejection.Until) {
    // The traffic thread has ended it by itself at that time.
    Ejection.InForce = false;
    Events.note(event_kind::ServerReturned, Ejection.Service, Ejection.Server,
                "the right to eject has ended");
  }
  if (!Terms.Owned)
    return release(Ejection, "another proxy owns it now", Out);
  if (!Ejection.InForce && Now - Ejection.LastWish > WishLasts)
    return release(Ejection, "", Out);
  if (Now - Ejection.LastClaim >= ejection_ledger::Lease / 2)
    claim(Ejection, Terms.Unavailable, Now, Out);
}

std::size_t ejection_holder::inForce(steady_time Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Ejections, [&](const held_ejection &Ejection) {
        return Ejection.InForce && Now < Ejection.Until;
      }));
}

} // namespace endiverail
