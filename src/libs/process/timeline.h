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

/// Hybrid logical time: wall-clock time that never falls behind observed times.
struct hybrid_time {
  std::int64_t WallMilliseconds = 0;
  std::uint32_t Counter = 0;

  auto operator<=>(const hybrid_time &) const = default;
};

/// A hybrid logical clock. Not thread-safe.
class hybrid_clock {
public:
  /// Returns a time later than all that were returned or observed before.
  hybrid_time tick(wall_time Now);
  /// Observes a time of another process.
  void observe(hybrid_time Remote, wall_time Now);

private:
  /// Limits how far a peer whose clock is fast can advance this clock.
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
  /// Empty if the event does not concern a particular service.
  std::string Service;
  /// What the event concerns: a host, a backend server or a version.
  std::string Subject;
  std::string Detail;
};

/// A bounded buffer of the latest events of this process. Thread-safe.
class timeline {
public:
  explicit timeline(std::size_t Limit) : Limit(Limit) {}

  void record(event_kind Kind, std::string Service, std::string Subject,
              std::string Detail);
  void observe(hybrid_time Remote);
  hybrid_time now();

  /// Returns the events after \p After, oldest first.
  std::vector<timeline_event> since(hybrid_time After) const;

private:
  std::size_t Limit;
  mutable std::mutex Mutex;
  hybrid_clock Clock;
  std::deque<timeline_event> Events;
};

} // namespace endiverail
