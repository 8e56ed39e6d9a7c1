#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace endiverail {

/// Identity of a request's work: service, kind, target and body.
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprintOf(std::string_view Service,
                                  std::string_view Kind,
                                  std::string_view Target,
                                  std::string_view Body);

/// Remembers requests that were running when a backend server died. One that
/// was there for the deaths of two different backend servers runs no more.
class quarantine {
public:
  /// Notes a death. Returns true when the fingerprint has just become
  /// quarantined or its count has grown, so that peers should be told.
  bool recordDeath(request_fingerprint Fingerprint, std::string_view Server,
                   steady_time Now);

  bool isQuarantined(request_fingerprint Fingerprint, steady_time Now) const;

  /// The request was answered: it does not kill.
  void clear(request_fingerprint Fingerprint) { Entries.erase(Fingerprint); }

  /// Forgets what is older than the quarantine lasts.
  void expire(steady_time Now);

  std::size_t size() const { return Entries.size(); }

private:
  static constexpr std::size_t DeathThreshold = 2;
  static constexpr std::chrono::minutes Duration{30};
  static constexpr std::size_t MaxEntries = 4096;

  struct entry {
    std::set<std::string, std::less<>> DeadServers;
    steady_time LastDeath;
  };

  std::size_t deaths(request_fingerprint Fingerprint, steady_time Now) const;

  std::map<request_fingerprint, entry> Entries;
};

} // namespace endiverail
