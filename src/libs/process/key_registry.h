#pragma once

#include "base/time.h"
#include "process/fleet_key.h"
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
  /// How long an outcome is remembered after it came.
  milliseconds Life{600'000};

  /// How long after its issue a key may first be used. Together with the
  /// tolerance it is shorter than the life, so that a key which is not
  /// remembered any more is not taken for one that was never used.
  milliseconds firstUse() const { return Life / 2; }
  /// How far the issuer's clock may be ahead of this one.
  milliseconds clockTolerance() const { return Life / 4; }
};

enum class key_verdict {
  /// The key is in progress from here on: the request may run.
  Run,
  /// The request ran before: its answer is given again.
  Replay,
  /// Another proxy decides.
  AskHolder,
  /// Another proxy would decide, but this one does not know it as a member.
  HolderUnknown,
};

/// What becomes of a request with a key.
struct key_admission {
  key_verdict Verdict = key_verdict::Run;
  /// For Replay.
  const stored_response *Answer = nullptr;
  /// For AskHolder; lives as long as the version.
  const proxy_member *Holder = nullptr;
};

/// Decides by a request's key whether it may run here, and remembers what
/// became of it. A key is run by the incarnation of a proxy that issued it, or
/// by the one heir to whom that one has handed its keys.
class key_registry {
public:
  explicit key_registry(key_settings Settings)
      : Settings(Settings), Outcomes(Settings.Bytes, Settings.Life) {}

  /// \p Wall must not step back within the process. Fails with KeyExpired,
  /// KeyInProgress or MemoryLimit; nothing is run then.
  result<key_admission> admit(std::string_view Name, const fleet_key &Key,
                              const fleet_version &Version, wall_time Wall,
                              steady_time Now);

  void finish(std::string_view Name, stored_response Answer, steady_time Now) {
    Outcomes.finish(Name, std::move(Answer), Now);
  }
  void forget(std::string_view Name) { Outcomes.forget(Name); }
  void expire(steady_time Now) { Outcomes.expire(Now); }

  /// What an heir has to know. Called when no request is in progress.
  std::vector<remembered_key> remembered(steady_time Now) const {
    return Outcomes.remembered(Now);
  }

  /// Takes the keys of proxies that have ended, before their version is in
  /// force here. Where there is no room for all, keys of those proxies that
  /// are not remembered are refused.
  void inherit(std::span<const remembered_key> Keys, steady_time Now);

private:
  result<void> checkFresh(const fleet_key &Key, wall_time Wall) const;

  key_settings Settings;
  outcome_table Outcomes;
  /// Issuers of whose keys some had no room here.
  std::set<proxy_incarnation> PartlyKnown;
};

} // namespace endiverail
