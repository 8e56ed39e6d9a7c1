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

/// Detects that a backend server died: after one connection broke, all other
/// attempts that were running on the server broke within a short time too.
class death_detector {
public:
  /// Time within which the other attempts must break too.
  static constexpr milliseconds DetectionWindow{50};

  void onStart(std::string_view Server, std::uint64_t Attempt);

  /// An attempt ended for any reason but a broken connection.
  void onEnd(std::string_view Server, std::uint64_t Attempt);

  /// The connection of an attempt broke while the request was running.
  void onDisconnect(std::string_view Server, std::uint64_t Attempt,
                    request_fingerprint Fingerprint, steady_time Now);

  struct death {
    std::string Server;
    std::vector<request_fingerprint> Running;
  };

  /// Returns the deaths whose detection window has ended.
  std::vector<death> takeDeaths(steady_time Now);

  std::optional<steady_time> nextWake() const;

private:
  struct disconnect_group {
    steady_time DecisionTime;
    /// Attempts that were running when the first connection broke and still
    /// are.
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
