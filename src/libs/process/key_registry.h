#pragma once

#include "base/time.h"
#include "process/idempotency_key.h"
#include "process/outcome_table.h"
#include "request/caller_request.h"
#include "version/fleet_version.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

struct key_settings {
  std::size_t Bytes = std::size_t{8} * 1024 * 1024;
  /// Time for which the outcome of a request is kept.
  milliseconds Lifetime{600'000};

  /// Time after its issue within which a key must first be used. Together with
  /// the clock tolerance it is shorter than the lifetime, so that a key whose
  /// outcome has expired is not mistaken for one that was never used.
  milliseconds firstUseWindow() const { return Lifetime / 2; }
  /// Maximum lead of the issuer's clock over the local clock.
  milliseconds clockTolerance() const { return Lifetime / 4; }
};

enum class key_decision {
  /// The request may run; its key is now in progress.
  Run,
  /// The request has already run; its stored answer is sent again.
  Replay,
  /// Another proxy holds the key and decides.
  AskHolder,
  /// Another proxy holds the key, but it is not a known member.
  HolderUnknown,
};

/// The decision about a request with an idempotency key.
struct key_admission {
  key_decision Decision = key_decision::Run;
  /// The stored answer, for Replay.
  const stored_response *Answer = nullptr;
  /// The holder of the key, for AskHolder; valid as long as the version.
  const proxy_member *Holder = nullptr;
};

/// Decides by a request's idempotency key whether it may run here, and stores
/// the outcome. A request may run on the proxy incarnation that issued its key,
/// or on the one heir to which that incarnation handed over its keys.
class key_registry {
public:
  explicit key_registry(key_settings Settings)
      : Settings(Settings), Outcomes(Settings.Bytes, Settings.Lifetime) {}

  /// \p Wall must be monotonic within the process. Fails with KeyExpired,
  /// KeyInProgress or MemoryLimit; then the request must not run.
  result<key_admission> admit(std::string_view Name, const idempotency_key &Key,
                              const fleet_version &Version, wall_time Wall,
                              steady_time Now);

  void finish(std::string_view Name, stored_response Answer, steady_time Now) {
    Outcomes.finish(Name, std::move(Answer), Now);
  }
  void forget(std::string_view Name) { Outcomes.forget(Name); }
  void expire(steady_time Now) { Outcomes.expire(Now); }

  /// Returns the stored outcomes for an heir. May only be called while no
  /// request is in progress.
  std::vector<remembered_key> remembered(steady_time Now) const {
    return Outcomes.remembered(Now);
  }

  /// Adds the keys of proxies that have shut down, before the version that
  /// names this proxy as their heir is in force. If there is no room for all
  /// keys, unknown keys of the affected issuers are refused.
  void inherit(std::span<const remembered_key> Keys, steady_time Now);

private:
  result<void> checkFirstUse(const idempotency_key &Key, wall_time Wall) const;

  key_settings Settings;
  outcome_table Outcomes;
  /// Issuers some of whose keys could not be stored.
  std::set<proxy_incarnation> IncompleteIssuers;
};

} // namespace endiverail
