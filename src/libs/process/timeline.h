#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Hybrid logical time: wall time that never runs behind what was seen.
struct hybrid_time {
  std::int64_t WallMilliseconds = 0;
  std::uint32_t Counter = 0;

  auto operator<=>(const hybrid_time &) const = default;
};

/// Gives out hybrid logical times. Not safe for several threads.
class hybrid_clock {
public:
  /// A time after all that were given or seen.
  hybrid_time tick(wall_time Now);
  /// Takes note of another process's time.
  void observe(hybrid_time Remote, wall_time Now);

private:
  /// A peer whose clock is far ahead can't drag this one along for ever.
  static constexpr milliseconds MaxClockLead{60'000};
  hybrid_time Last;
};

enum class event_kind {
  Started,
  VersionInForce,
  MemberJoined,
  MemberSuspected,
  MemberLost,
  OwnershipChanged,
  ServerSuspected,
  ServerEjected,
  ServerReturned,
  ServerLeaving,
  RequestQuarantined,
  KeysInherited,
  PathFault,
  FloodStarted,
  FloodEnded,
  SelfSuspected,
  StoreLost,
  StoreBack,
  RecordSkipped,
  DrainStarted,
  Stopped,
};

inline constexpr std::size_t EventKindCount =
    static_cast<std::size_t>(event_kind::Stopped) + 1;

std::string_view eventName(event_kind Kind);

struct timeline_event {
  hybrid_time Time;
  event_kind Kind = event_kind::Started;
  /// Empty when the event concerns no single service.
  std::string Service;
  /// What it happened to: a host, a backend server, a version.
  std::string Subject;
  std::string Detail;
};

/// The latest events of this process, from all of its threads, in a bounded
/// ring.
class timeline {
public:
  explicit timeline(std::size_t Limit) : Limit(Limit) {}

  void record(event_kind Kind, std::string Service, std::string Subject,
              std::string Detail);
  void observe(hybrid_time Remote);
  hybrid_time now();

  /// Events after \p After, oldest first.
  std::vector<timeline_event> since(hybrid_time After) const;

private:
  std::size_t Limit;
  mutable std::mutex Mutex;
  hybrid_clock Clock;
  std::deque<timeline_event> Events;
};

} // namespace endiverail
