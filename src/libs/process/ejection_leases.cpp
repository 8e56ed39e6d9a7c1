#include "process/ejection_leases.h"

#include <algorithm>
#include <utility>

namespace endiverail {

ejection_leases::ejection_lease *
ejection_leases::find(std::string_view Service, std::string_view Server) {
  auto Found = std::ranges::find_if(Ejections, [&](const ejection_lease &Held) {
    return Held.Service == Service && Held.Server == Server;
  });
  return Found == Ejections.end() ? nullptr : &*Found;
}

void ejection_leases::claim(ejection_lease &Ejection, std::size_t Unavailable,
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

void ejection_leases::requestLease(const ejection_request &Request,
                                   const ejection_context &Context,
                                   steady_time Now, control_actions &Out) {
  if (ejection_lease *Known = find(Request.Service, Request.Server)) {
    Known->LastRequested = Now;
    return;
  }
  if (!Context.Definition || !Context.Owned)
    return;
  Events.record(event_kind::ServerSuspected, Request.Service, Request.Server,
                "");
  ejection_lease &Added = Ejections.emplace_back();
  Added.Service = Request.Service;
  Added.Server = Request.Server;
  Added.LastRequested = Now;
  claim(Added, Context.Unavailable, Now, Out);
}

void ejection_leases::release(ejection_lease &Ejection, std::string_view Reason,
                              control_actions &Out) {
  ejection_claim Claim;
  Claim.Service = Ejection.Service;
  Claim.Server = Ejection.Server;
  Claim.Holder = Holder;
  Claim.Sequence = NextSequence++;
  Claim.Held = false;
  Out.emplace_back(append_log{std::move(Claim)});
  Ejection.Released = true;
  if (!std::exchange(Ejection.Active, false))
    return;
  Events.record(event_kind::ServerReturned, Ejection.Service, Ejection.Server,
                std::string(Reason));
  Out.emplace_back(notify_traffic{
      ejection_changed{Ejection.Service, Ejection.Server, std::nullopt}});
}

void ejection_leases::withdraw(const ejection_request &Request,
                               control_actions &Out) {
  if (ejection_lease *Known = find(Request.Service, Request.Server)) {
    release(*Known, "trial requests succeeded", Out);
    std::erase_if(Ejections,
                  [](const ejection_lease &E) { return E.Released; });
  }
}

void ejection_leases::releaseAll(control_actions &Out) {
  for (ejection_lease &Ejection : Ejections)
    release(Ejection, "the proxy shuts down", Out);
  Ejections.clear();
}

void ejection_leases::reviewOne(ejection_lease &Ejection,
                                const ejection_context &Context,
                                steady_time Now, control_actions &Out) {
  auto Sequence = Context.Definition ? Ledger.granted(*Context.Definition,
                                                      Ejection.Server, Holder)
                                     : std::nullopt;
  auto Claimed =
      Sequence ? Ejection.ClaimedAt.find(*Sequence) : Ejection.ClaimedAt.end();
  if (Claimed == Ejection.ClaimedAt.end()) {
    if (std::exchange(Ejection.Active, false)) {
      Events.record(
          event_kind::ServerReturned, Ejection.Service, Ejection.Server,
          "the lease is no longer granted within the ejection budget");
      Out.emplace_back(notify_traffic{
          ejection_changed{Ejection.Service, Ejection.Server, std::nullopt}});
    }
    return;
  }
  // Measured from before the append, so that the lease on the log ends later.
  steady_time ExpiresAt =
      Claimed->second + ejection_ledger::Lease - ejection_ledger::HolderMargin;
  if (ExpiresAt <= Now || (Ejection.Active && ExpiresAt == Ejection.ExpiresAt))
    return;
  Ejection.ExpiresAt = ExpiresAt;
  if (!std::exchange(Ejection.Active, true))
    Events.record(event_kind::ServerEjected, Ejection.Service, Ejection.Server,
                  "");
  Out.emplace_back(notify_traffic{
      ejection_changed{Ejection.Service, Ejection.Server, ExpiresAt}});
}

void ejection_leases::renewOne(ejection_lease &Ejection,
                               const ejection_context &Context, steady_time Now,
                               control_actions &Out) {
  std::erase_if(Ejection.ClaimedAt, [&](const auto &Entry) {
    return Now - Entry.second > ejection_ledger::Lease;
  });
  if (Ejection.Active && Now >= Ejection.ExpiresAt) {
    // The traffic thread has ended the ejection by itself at that time.
    Ejection.Active = false;
    Events.record(event_kind::ServerReturned, Ejection.Service, Ejection.Server,
                  "the ejection lease expired");
  }
  if (!Context.Owned)
    return release(Ejection, "another proxy owns the backend server", Out);
  if (!Ejection.Active && Now - Ejection.LastRequested > RequestLifetime)
    return release(Ejection, "", Out);
  if (Now - Ejection.LastClaim >= ejection_ledger::Lease / 2)
    claim(Ejection, Context.Unavailable, Now, Out);
}

std::size_t ejection_leases::activeCount(steady_time Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Ejections, [&](const ejection_lease &Ejection) {
        return Ejection.Active && Now < Ejection.ExpiresAt;
      }));
}

} // namespace endiverail
