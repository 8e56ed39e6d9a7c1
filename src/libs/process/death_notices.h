#pragma once

#include "base/time.h"
#include "process/expiring_set.h"
#include "process/quarantine.h"
#include "process/traffic_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace endiverail {

/// Decides which daemons are informed of the deaths of backend servers, and
/// when. A single broken connection looks like a death, so that a fault of the
/// network or of many servers makes them frequent. The entries learn of each
/// death, as one of them may be sent the same request next; all other daemons
/// learn of it once the request is in quarantine. Deaths are sent in batches,
/// so that their number does not determine the number of datagrams.
class death_notices {
public:
  /// Minimum time between two batches. A request that terminates its backend
  /// servers may be sent to a few of them before all daemons have to reject it.
  static constexpr milliseconds BatchInterval{500};
  /// Maximum number of deaths in each part of a batch.
  static constexpr std::size_t MaxDeaths = 64;

  struct batch {
    std::vector<server_death> ToEntries;
    std::vector<server_death> ToAll;
  };

  /// A request of this daemon was running when a backend server died.
  void onOwnDeath(const server_death &Death, steady_time Now);
  void onPeerDeath(const server_death &Death, steady_time Now);

  /// The deaths to send now, if a batch is due.
  std::optional<batch> takeBatch(steady_time Now);
  /// When the next batch is due.
  std::optional<steady_time> nextWake() const;

private:
  static constexpr std::chrono::minutes ReportedLifetime{30};
  static constexpr std::size_t MaxReported = 4096;
  /// Deaths that wait for a batch; the oldest are dropped.
  static constexpr std::size_t MaxPending = 512;

  void notifyAll(const server_death &Latest);
  static void add(std::deque<server_death> &Pending, server_death Death);
  static std::vector<server_death> take(std::deque<server_death> &Pending);

  quarantine Recorded;
  /// Requests of which this daemon has reported a death to the entries only.
  expiring_set<request_fingerprint> Reported{ReportedLifetime, MaxReported};
  std::deque<server_death> ForEntries;
  std::deque<server_death> ForAll;
  std::optional<steady_time> LastBatch;
};

} // namespace endiverail
