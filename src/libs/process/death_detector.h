#pragma once

#include "base/time.h"
#include "process/quarantine.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Tells the death of a backend server from a single broken connection: all
/// that ran on it broke within a short while.
class death_detector {
public:
  /// How long the other attempts have to break as well.
  static constexpr milliseconds DetectionWindow{50};

  void onStart(std::string_view Server, std::uint64_t Attempt);

  /// An attempt ended otherwise than by a broken connection.
  void onEnd(std::string_view Server, std::uint64_t Attempt);

  /// An attempt's connection broke while the request ran.
  void onDisconnect(std::string_view Server, std::uint64_t Attempt,
                    request_fingerprint Fingerprint, steady_time Now);

  struct death {
    std::string Server;
    std::vector<request_fingerprint> Running;
  };

  /// Deaths whose verdict is due.
  std::vector<death> takeDeaths(steady_time Now);

  std::optional<steady_time> nextWake() const;

private:
  struct disconnect_group {
    steady_time DecisionTime;
    /// Ran when the first connection broke, and still does.
    std::set<std::uint64_t> StillRunning;
    bool AnyCompleted = false;
    std::vector<request_fingerprint> Disconnected;
  };
  struct server_attempts {
    std::set<std::uint64_t> Running;
    std::optional<disconnect_group> Group;
  };

  std::map<std::string, server_attempts, std::less<>> Servers;
};

} // namespace endiverail
