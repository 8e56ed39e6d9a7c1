#include "process/ejection_leases.h"

#include <algorithm>
#include <utility>

namespace endiverail {

ejection_leases::ejection_lease *
ejection_leases::find(std::string_view Service, std::string_view Server) {
  auto Found = std::ranges::find_if(Leases, [&](const ejection_lease &Held) {
    return Held.Service == Service && Held.Server == Server;
  });
  return Found == Leases.end() ? nullptr : &*Found;
}

void ejection_leases::claim(ejection_lease &Lease, std::size_t Unavailable,
                            steady_time Now, control_actions &Out) {
  ejection_claim Claim;
  Claim.Service = Lease.Service;
  Claim.Server = Lease.Server;
  Claim.Holder = Holder;
  Claim.Sequence = NextSequence++;
  Claim.Unavailable = Unavailable;
  Lease.ClaimedAt[Claim.Sequence] = Now;
  Lease.LastClaim = Now;
  Out.emplace_back(append_log{std::move(Claim)});
}

void ejection_leases::requestLease(const ejection_wish &Request,
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
  ejection_lease &Added = Leases.emplace_back();
  Added.Service = Request.Service;
  Added.Server = Request.Server;
  Added.LastRequested = Now;
  claim(Added, Context.Unavailable, Now, Out);
}

void ejection_leases::release(ejection_lease &Lease, std::string_view Reason,
                              control_actions &Out) {
  ejection_claim Claim;
  Claim.Service = Lease.Service;
  Claim.Server = Lease.Server;
  Claim.Holder = Holder;
  Claim.Sequence = NextSequence++;
  Claim.Held = false;
  Out.emplace_back(append_log{std::move(Claim)});
  Lease.Released = true;
  if (!std::exchange(Lease.Active, false))
    return;
  Events.record(event_kind::ServerReturned, Lease.Service, Lease.Server,
                std::string(Reason));
  Out.emplace_back(notify_traffic{
      ejection_changed{Lease.Service, Lease.Server, std::nullopt}});
}

void ejection_leases::withdraw(const ejection_wish &Request,
                               control_actions &Out) {
  if (ejection_lease *Known = find(Request.Service, Request.Server)) {
    release(*Known, "trial requests succeeded", Out);
    std::erase_if(Leases, [](const ejection_lease &E) { return E.Released; });
  }
}

void ejection_leases::releaseAll(control_actions &Out) {
  for (ejection_lease &Lease : Leases)
    release(Lease, "the proxy shuts down", Out);
  Leases.clear();
}

void ejection_leases::reviewOne(ejection_lease &Lease,
                                const ejection_context &Context,
                                steady_time Now, control_actions &Out) {
  auto Sequence = Context.Definition ? Ledger.granted(*Context.Definition,
                                                      Lease.Server, Holder)
                                     : std::nullopt;
  auto Claimed =
      Sequence ? Lease.ClaimedAt.find(*Sequence) : Lease.ClaimedAt.end();
  if (Claimed == Lease.ClaimedAt.end()) {
    if (std::exchange(Lease.Active, false)) {
      Events.record(
          event_kind::ServerReturned, Lease.Service, Lease.Server,
          "the lease is no longer granted within the ejection budget");
      Out.emplace_back(notify_traffic{
          ejection_changed{Lease.Service, Lease.Server, std::nullopt}});
    }
    return;
  }
  // Measured from before the append, so that the lease on the log ends later.
  steady_time ExpiresAt =
      Claimed->second + ejection_ledger::Lease - ejection_ledger::HolderMargin;
  if (ExpiresAt <= Now || (Lease.Active && ExpiresAt == Lease.ExpiresAt))
    return;
  Lease.ExpiresAt = ExpiresAt;
  if (!std::exchange(Lease.Active, true))
    Events.record(event_kind::ServerEjected, Lease.Service, Lease.Server, "");
  Out.emplace_back(
      notify_traffic{ejection_changed{Lease.Service, Lease.Server, ExpiresAt}});
}

void ejection_leases::renewOne(ejection_lease &Lease,
                               const ejection_context &Context, steady_time Now,
                               control_actions &Out) {
  std::erase_if(Lease.ClaimedAt, [&](const auto &Entry) {
    return Now - Entry.second > ejection_ledger::Lease;
  });
  if (Lease.Active && Now >= Lease.ExpiresAt) {
    // The traffic thread has ended the ejection by itself at that time.
    Lease.Active = false;
    Events.record(event_kind::ServerReturned, Lease.Service, Lease.Server,
                  "the ejection lease expired");
  }
  if (!Context.Owned)
    return release(Lease, "another proxy owns the backend server", Out);
  if (!Lease.Active && Now - Lease.LastRequested > RequestLifetime)
    return release(Lease, "", Out);
  if (Now - Lease.LastClaim >= ejection_ledger::Lease / 2)
    claim(Lease, Context.Unavailable, Now, Out);
}

std::size_t ejection_leases::activeCount(steady_time Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Leases, [&](const ejection_lease &Lease) {
        return Lease.Active && Now < Lease.ExpiresAt;
      }));
}

} // namespace endiverail
