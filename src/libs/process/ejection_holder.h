#pragma once

#include "process/control_message.h"
#include "process/ejection_ledger.h"
#include "process/time_line.h"
#include "version/configuration.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What an ejection has to know of its service at the time.
struct ejection_terms {
  /// The service's definition in force, or nullptr.
  const service_definition *Definition = nullptr;
  /// Backend servers of the pool that are no healthy capacity, claims aside.
  std::size_t Unavailable = 0;
  /// Whether this proxy owns the backend server now.
  bool Owned = false;
};

/// Tells the terms for a backend server of a service.
template <typename T>
concept ejection_terms_source = requires(const T Source,
                                         std::string_view Service,
                                         std::string_view Server) {
  { Source(Service, Server) } -> std::same_as<ejection_terms>;
};

/// The ejections that this proxy holds or wants. A right is claimed on the
/// log, used once the claim was read back as granted, renewed, and used no
/// longer than the last claim that was read back proves.
class ejection_holder {
public:
  /// \p Holder names this incarnation of the proxy.
  ejection_holder(std::string Holder, time_line &Events)
      : Holder(std::move(Holder)), Events(Events) {}

  /// Takes the evidence of a traffic thread.
  template <ejection_terms_source Terms>
  void wish(const ejection_request &Wish, const Terms &TermsOf, steady_time Now,
            control_actions &Out) {
    if (Wish.Eject)
      want(Wish, TermsOf(Wish.Service, Wish.Server), Now, Out);
    else
      giveBack(Wish, Out);
  }

  /// Takes a claim that was read from the log, anyone's.
  void read(const ejection_claim &Claim, const service_definition *Definition) {
    Ledger.apply(Claim, Definition);
  }

  /// Takes the log's clock.
  void advance(std::int64_t LogMilliseconds) {
    Ledger.advance(LogMilliseconds);
  }

  /// Puts rights in force that were read back, and takes back what is not
  /// granted any more.
  template <ejection_terms_source Terms>
  void review(const Terms &TermsOf, steady_time Now, control_actions &Out) {
    for (held_ejection &Ejection : Ejections)
      reviewOne(Ejection, TermsOf(Ejection.Service, Ejection.Server), Now, Out);
  }

  /// Renews claims, and lets go of those that are not wanted any more.
  template <ejection_terms_source Terms>
  void renew(const Terms &TermsOf, steady_time Now, control_actions &Out) {
    for (held_ejection &Ejection : Ejections)
      renewOne(Ejection, TermsOf(Ejection.Service, Ejection.Server), Now, Out);
    std::erase_if(Ejections, [](const held_ejection &E) { return E.Over; });
  }

  /// Gives all claims back.
  void giveAllBack(control_actions &Out);

  /// Backend servers that are ejected by this proxy now.
  std::size_t inForce(steady_time Now) const;

private:
  struct held_ejection {
    std::string Service;
    endpoint_text Server;
    /// When each claim that may still count was appended, by its sequence.
    std::map<std::uint64_t, steady_time> ClaimedAt;
    steady_time LastClaim;
    steady_time LastWish;
    /// Until when the right is proven.
    steady_time Until;
    bool InForce = false;
    bool Over = false;
  };

  /// Without evidence for so long, a claim that was not granted is dropped.
  static constexpr milliseconds WishLasts{10'000};

  held_ejection *find(std::string_view Service, std::string_view Server);
  void want(const ejection_request &Wish, const ejection_terms &Terms,
            steady_time Now, control_actions &Out);
  void giveBack(const ejection_request &Wish, control_actions &Out);
  void reviewOne(held_ejection &Ejection, const ejection_terms &Terms,
                 steady_time Now, control_actions &Out);
  void renewOne(held_ejection &Ejection, const ejection_terms &Terms,
                steady_time Now, control_actions &Out);
  void claim(held_ejection &Ejection, std::size_t Unavailable, steady_time Now,
             control_actions &Out);
  void release(held_ejection &Ejection, std::string_view Why,
               control_actions &Out);

  std::string Holder;
  time_line &Events;
  ejection_ledger Ledger;
  std::vector<held_ejection> Ejections;
  std::uint64_t NextSequence = 1;
};

} // namespace endiverail
