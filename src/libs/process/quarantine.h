#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Identifies the work of a request: its service, kind, target and body.
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprintOf(std::string_view Service,
                                  std::string_view Kind,
                                  std::string_view Target,
                                  std::string_view Body);

/// Tracks requests that were running when a backend server died. A request that
/// was running during the deaths of two different backend servers is not run
/// again.
class quarantine {
public:
  /// Records a death. Returns whether \p Server is new for this fingerprint, in
  /// which case the peers should be informed.
  bool recordDeath(request_fingerprint Fingerprint, std::string_view Server,
                   steady_time Now);

  bool isQuarantined(request_fingerprint Fingerprint, steady_time Now) const;

  /// The backend servers that died while they ran the request.
  std::vector<std::string> deadServers(request_fingerprint Fingerprint) const;

  /// Clears a request that was answered and so did not kill its backend server.
  void clear(request_fingerprint Fingerprint) { Entries.erase(Fingerprint); }

  /// Removes entries older than the quarantine period.
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
