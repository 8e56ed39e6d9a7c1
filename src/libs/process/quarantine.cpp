#include "process/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace endiverail {

request_fingerprint fingerprintOf(std::string_view Service,
                                  std::string_view Kind,
                                  std::string_view Target,
                                  std::string_view Body) {
  std::string Work = std::string(Service).append(1, '\n').append(Kind);
  return stableHash(Work, std::string(Target).append(1, '\n').append(Body));
}

bool quarantine::recordDeath(request_fingerprint Fingerprint,
                             std::string_view Server, steady_time Now) {
  if (Entries.size() >= MaxEntries)
    expire(Now);
  if (Entries.size() >= MaxEntries && !Entries.contains(Fingerprint))
    return false;
  entry &Entry = Entries[Fingerprint];
  Entry.LastDeath = Now;
  return Entry.DeadServers.emplace(Server).second;
}

std::size_t quarantine::deaths(request_fingerprint Fingerprint,
                               steady_time Now) const {
  auto Found = Entries.find(Fingerprint);
  if (Found == Entries.end() || Now - Found->second.LastDeath > Duration)
    return 0;
  return Found->second.DeadServers.size();
}

bool quarantine::isQuarantined(request_fingerprint Fingerprint,
                               steady_time Now) const {
  return deaths(Fingerprint, Now) >= DeathThreshold;
}

std::vector<std::string>
quarantine::deadServers(request_fingerprint Fingerprint) const {
  auto Found = Entries.find(Fingerprint);
  if (Found == Entries.end())
    return {};
  return {Found->second.DeadServers.begin(), Found->second.DeadServers.end()};
}

void quarantine::expire(steady_time Now) {
  std::erase_if(Entries, [&](const auto &Entry) {
    return Now - Entry.second.LastDeath > Duration;
  });
}

} // namespace endiverail
