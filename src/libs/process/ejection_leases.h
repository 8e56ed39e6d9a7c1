#pragma once

#include "process/control_message.h"
#include "process/ejection_ledger.h"
#include "process/timeline.h"
#include "version/configuration.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// The current data of a service that an ejection depends on.
struct ejection_context {
  /// The service's definition in force, or nullptr.
  const service_definition *Definition = nullptr;
  /// Backend servers of the pool that provide no healthy capacity, not counting
  /// ejections.
  std::size_t Unavailable = 0;
  /// Whether this proxy owns the backend server now.
  bool Owned = false;
};

/// Returns the context of a backend server of a service.
template <typename T>
concept ejection_context_source = requires(const T Source,
                                           std::string_view Service,
                                           std::string_view Server) {
  { Source(Service, Server) } -> std::same_as<ejection_context>;
};

/// The ejection leases that this proxy holds or has requested. A lease is
/// claimed by a record on the log. It becomes active once the claim has been
/// read back from the log as granted, is renewed regularly, and expires when
/// the last claim that was read back does.
class ejection_leases {
public:
  /// \p Holder names this incarnation of the proxy.
  ejection_leases(std::string Holder, timeline &Events)
      : Holder(std::move(Holder)), Events(Events) {}

  /// Handles a traffic thread's request to eject a backend server or to end its
  /// ejection.
  template <ejection_context_source Source>
  void onRequest(const ejection_request &Request, const Source &ContextOf,
                 steady_time Now, control_actions &Out) {
    if (Request.Eject)
      requestLease(Request, ContextOf(Request.Service, Request.Server), Now,
                   Out);
    else
      withdraw(Request, Out);
  }

  /// Applies a claim that was read from the log, of any holder.
  void read(const ejection_claim &Claim, const service_definition *Definition) {
    Ledger.apply(Claim, Definition);
  }

  /// Updates the log's clock.
  void advance(std::int64_t LogMilliseconds) {
    Ledger.advance(LogMilliseconds);
  }

  /// Activates leases that were read back as granted, and ends those that are
  /// no longer granted.
  template <ejection_context_source Source>
  void review(const Source &ContextOf, steady_time Now, control_actions &Out) {
    for (ejection_lease &Ejection : Ejections)
      reviewOne(Ejection, ContextOf(Ejection.Service, Ejection.Server), Now,
                Out);
  }

  /// Renews the claims, and releases leases that are no longer needed.
  template <ejection_context_source Source>
  void renew(const Source &ContextOf, steady_time Now, control_actions &Out) {
    for (ejection_lease &Ejection : Ejections)
      renewOne(Ejection, ContextOf(Ejection.Service, Ejection.Server), Now,
               Out);
    std::erase_if(Ejections,
                  [](const ejection_lease &E) { return E.Released; });
  }

  /// Releases all leases.
  void releaseAll(control_actions &Out);

  /// Backend servers that are ejected by this proxy now.
  std::size_t activeCount(steady_time Now) const;

private:
  struct ejection_lease {
    std::string Service;
    endpoint_text Server;
    /// When each claim that may still be valid was appended, by its sequence.
    std::map<std::uint64_t, steady_time> ClaimedAt;
    steady_time LastClaim;
    steady_time LastRequested;
    /// The end of the lease as read back from the log.
    steady_time ExpiresAt;
    bool Active = false;
    bool Released = false;
  };

  /// A lease that was not granted is released if it is not requested again
  /// within this time.
  static constexpr milliseconds RequestLifetime{10'000};

  ejection_lease *find(std::string_view Service, std::string_view Server);
  void requestLease(const ejection_request &Request,
                    const ejection_context &Context, steady_time Now,
                    control_actions &Out);
  void withdraw(const ejection_request &Request, control_actions &Out);
  void reviewOne(ejection_lease &Ejection, const ejection_context &Context,
                 steady_time Now, control_actions &Out);
  void renewOne(ejection_lease &Ejection, const ejection_context &Context,
                steady_time Now, control_actions &Out);
  void claim(ejection_lease &Ejection, std::size_t Unavailable, steady_time Now,
             control_actions &Out);
  void release(ejection_lease &Ejection, std::string_view Reason,
               control_actions &Out);

  std::string Holder;
  timeline &Events;
  ejection_ledger Ledger;
  std::vector<ejection_lease> Ejections;
  std::uint64_t NextSequence = 1;
};

} // namespace endiverail
