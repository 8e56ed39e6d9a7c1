#include "process/timeline.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace endiverail {

hybrid_time hybrid_clock::tick(wall_time Now) {
  std::int64_t Wall = Now.time_since_epoch().count();
  if (Wall > Last.WallMilliseconds)
    Last = {Wall, 0};
  else
    ++Last.Counter;
  return Last;
}

void hybrid_clock::observe(hybrid_time Remote, wall_time Now) {
  std::int64_t Latest = (Now.time_since_epoch() + MaxClockLead).count();
  if (Remote.WallMilliseconds <= Latest)
    Last = std::max(Last, Remote);
}

std::string_view eventName(event_kind Kind) {
  constexpr std::array<std::string_view, EventKindCount> Names{
      "started",          "version-in-force",    "member-joined",
      "member-suspected", "member-lost",         "ownership-changed",
      "server-suspected", "server-ejected",      "server-returned",
      "server-leaving",   "request-quarantined", "keys-inherited",
      "path-fault",       "flood-started",       "flood-ended",
      "self-suspected",   "store-lost",          "store-back",
      "record-skipped",   "drain-started",       "stopped"};
  return Names[static_cast<std::size_t>(Kind)];
}

void timeline::record(event_kind Kind, std::string Service, std::string Subject,
                      std::string Detail) {
  spdlog::info("timeline: {} {} {} {}", eventName(Kind), Service, Subject,
               Detail);
  std::lock_guard Lock(Mutex);
  if (Events.size() == Limit)
    Events.pop_front();
  Events.push_back({Clock.tick(wallNow()), Kind, std::move(Service),
                    std::move(Subject), std::move(Detail)});
}

void timeline::observe(hybrid_time Remote) {
  std::lock_guard Lock(Mutex);
  Clock.observe(Remote, wallNow());
}

hybrid_time timeline::now() {
  std::lock_guard Lock(Mutex);
  return Clock.tick(wallNow());
}

std::vector<timeline_event> timeline::since(hybrid_time After) const {
  std::lock_guard Lock(Mutex);
  std::vector<timeline_event> Found;
  std::ranges::copy_if(
      Events, std::back_inserter(Found),
      [&](const timeline_event &Event) { return Event.Time > After; });
  return Found;
}

} // namespace endiverail
