#include "process/death_notices.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace endiverail {

void death_notices::onOwnDeath(const server_death &Death, steady_time Now) {
  Recorded.recordDeath(Death.Fingerprint, Death.Server, Now);
  if (Recorded.isQuarantined(Death.Fingerprint, Now))
    return notifyAll(Death);
  Reported.expire(Now);
  Reported.insert(Death.Fingerprint, Now);
  add(ForEntries, Death);
}

void death_notices::onPeerDeath(const server_death &Death, steady_time Now) {
  // If two daemons report the first deaths of a request at the same time,
  // neither has known of the other's.
  if (Recorded.recordDeath(Death.Fingerprint, Death.Server, Now) &&
      Recorded.isQuarantined(Death.Fingerprint, Now) &&
      Reported.contains(Death.Fingerprint))
    notifyAll(Death);
}

void death_notices::notifyAll(const server_death &Latest) {
  for (const endpoint_text &Server : Recorded.deadServers(Latest.Fingerprint))
    add(ForAll, {Latest.Service, Latest.Fingerprint, Server});
}

std::optional<death_notices::batch> death_notices::takeBatch(steady_time Now) {
  auto Due = nextWake();
  if (!Due || Now < *Due)
    return std::nullopt;
  LastBatch = Now;
  return batch{take(ForEntries), take(ForAll)};
}

std::optional<steady_time> death_notices::nextWake() const {
  if (ForEntries.empty() && ForAll.empty())
    return std::nullopt;
  return LastBatch ? *LastBatch + BatchInterval : steady_time{};
}

void death_notices::add(std::deque<server_death> &Pending, server_death Death) {
  if (std::ranges::find(Pending, Death) != Pending.end())
    return;
  if (Pending.size() == MaxPending)
    Pending.pop_front();
  Pending.push_back(std::move(Death));
}

std::vector<server_death>
death_notices::take(std::deque<server_death> &Pending) {
  auto End = Pending.begin() +
             static_cast<std::ptrdiff_t>(std::min(Pending.size(), MaxDeaths));
  std::vector<server_death> Taken(std::move_iterator(Pending.begin()),
                                  std::move_iterator(End));
  Pending.erase(Pending.begin(), End);
  return Taken;
}

} // namespace endiverail
