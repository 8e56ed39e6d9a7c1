#pragma once

#include "process/health_estimator.h"
#include "process/outlier_detector.h"
#include "process/pool_failure_rate.h"
#include "process/rank_queue.h"
#include "process/retry_budget.h"
#include "process/service_scheduler.h"
#include "process/start_rate.h"
#include "version/fleet_view.h"
#include "version/service_definition.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Which part of a pool's servers this process tries for all: that of one of
/// \p Entries. An index beyond that has no part.
struct trial_partition {
  std::size_t Index = 0;
  std::size_t Entries = 1;
};

/// Decides, for one service whose backend servers all proxies use, which
/// request runs next and where. It counts the slots that this process uses and
/// those that others have told of, and weighs the chance that a server fails a
/// request against the time that the request would wait there. Few servers are
/// left without work for long, so that it knows how all of them are. A request
/// for which no server has room waits as long as it can be answered in time;
/// one that can't be is refused at once, with the time after which it may come
/// back. It answers bursts and floods, and knows no clock and no transport.
class pool_scheduler {
public:
  pool_scheduler(const service_definition &Definition, std::uint64_t Seed);

  /// Takes over a new definition or set of backend servers. One that has
  /// started again at its address is a new one.
  void configure(const service_definition &Definition,
                 std::span<const backend_server> Servers, steady_time Now);

  /// Prefers backend servers of that data centre for bulk work.
  void setDataCentre(std::string_view Name) { DataCentre = Name; }
  void setRetryLimits(retry_limits Limits) { Retries.setLimits(Limits); }
  /// Shares the trials of doubtful servers out over the entries, all of which
  /// would otherwise try the same server at the same moment.
  void setTrialPartition(trial_partition Partition) {
    TrialPartition = Partition;
  }

  /// Lets a request wait. Returns the request that has to leave for it, which
  /// may be the same one.
  std::optional<request_id> submit(waiting_request Request, steady_time Now);
  /// Lets a request wait again after a failed attempt.
  void resubmit(waiting_request Request, steady_time Now);
  /// The next request to start, if a backend server has room for it.
  std::optional<slot_assignment> next(steady_time Now);
  /// Frees the slot that an attempt held.
  void release(std::string_view Server, rank Rank, steady_time Now);
  /// Takes what an attempt has shown of a backend server, here or elsewhere.
  void observe(std::string_view Server, attempt_signal Signal, steady_time Now);
  /// A backend server has left its address.
  void markLeaving(std::string_view Server, steady_time Now);
  /// Whether a backend server probably hangs or is slow.
  bool isSlow(std::string_view Server, steady_time Now) const;
  /// How many slots of a backend server other proxies use.
  void setRemoteSlots(std::string_view Server, std::size_t Slots,
                      steady_time Now);
  /// Slots of a backend server that this process uses.
  std::uint32_t localSlots(std::string_view Server) const;
  /// Removes a request that waits; false when it does not.
  bool cancel(request_id Id);
  /// Removes requests that have waited for as long as a request is held.
  std::vector<waiting_request> takeExpired(steady_time Now);
  /// How long a request is held when no server has room: as long as it can
  /// still be answered within its target time.
  static milliseconds maxQueueTime(const waiting_request &Request);

  retry_budget &retries() { return Retries; }
  std::size_t waiting() const;
  bool hasServers() const;
  std::vector<server_status> status(steady_time Now) const;
  /// After which time a request that is refused now should come back: refused
  /// requests get times one after the other, at the pace at which requests
  /// start here.
  milliseconds reserveRetryDelay(steady_time Now);

private:
  struct pooled_server {
    endpoint_text Address;
    std::string Instance;
    std::int64_t Started = 0;
    std::string DataCentre;
    bool Leaving = false;
    /// Listed no more; remembered until its attempts have ended.
    bool Delisted = false;
    std::size_t Slots = 1;
    steady_time ColdUntil;
    std::size_t InUse = 0;
    std::size_t RemoteSlots = 0;
    health_estimator Health;
    health_estimator Shedding{SheddingModel};
    health_estimator Slowness{SlownessModel};
    /// Of the path from this process: others may reach the server.
    health_estimator Path{PathModel};
    /// Its last answer was a failure.
    bool Failing = false;
    /// Requests that were started here since that time.
    std::size_t RecentStarts = 0;
    steady_time RecentStartsSince;
    /// When a request was last seen to reach it.
    steady_time LastUsed;
    /// When it last failed one.
    std::optional<steady_time> LastFailed;
    /// Nobody has been seen to use it.
    bool NeverUsed = true;
    /// Until when it takes no more than it had when it was full.
    steady_time FullUntil;
    std::size_t FullLimit = 0;

    std::size_t used() const { return InUse + RemoteSlots; }
    bool usable() const { return !Leaving && !Delisted; }
  };

  struct deferred_trial {
    endpoint_text Server;
    steady_time Until;
  };

  pooled_server *find(std::string_view Address);
  const pooled_server *find(std::string_view Address) const;
  bool mostAreFailing() const;
  /// Requests that may be at a server at once so that the last of them is
  /// answered within its target time.
  std::size_t capacityFor(const waiting_request &Request,
                          const pooled_server &Server, steady_time Now) const;
  bool isBacklogged(const waiting_request &Request, steady_time Now) const;
  double costOf(const waiting_request &Request, const pooled_server &Server,
                steady_time Now) const;
  std::size_t maxUnconfirmedStarts(const pooled_server &Server) const;
  bool mayRetry(const waiting_request &Request) const;
  bool canAccept(const waiting_request &Request, const pooled_server &Server,
                 steady_time Now) const;
  bool isReachable(const pooled_server &Server, steady_time Now) const;
  bool countsAsHealthy(const pooled_server &Server, steady_time Now) const;
  steady_time idleThreshold(steady_time Now) const;
  double maxIdleServers(const waiting_request &Request, std::ptrdiff_t Healthy,
                        steady_time Now) const;
  bool ownsTrialOf(const pooled_server &Server) const;
  void recordPoolFailure(const pooled_server &Server, attempt_signal Signal,
                         steady_time Now);
  pooled_server *chooseIdleServer(const waiting_request &Request,
                                  steady_time Now);
  pooled_server *takeOverTrial(pooled_server &Server, steady_time Now);
  pooled_server *chooseServer(const waiting_request &Request, steady_time Now);
  void removeDelisted();

  service_definition Definition;
  std::string DataCentre;
  trial_partition TrialPartition;
  /// The trial of an idle server that another entry is left to make.
  std::optional<deferred_trial> DeferredTrial;
  std::vector<pooled_server> Servers;
  std::vector<rank_queue> Queues;
  retry_budget Retries;
  pool_failure_rate PoolFailures;
  /// Of requests here.
  start_rate StartRate;
  /// The time that was given to the last refused request.
  steady_time LastRetryTime;
  /// Whether backend servers were listed before: those that come later have
  /// just joined.
  bool PoolKnown = false;
  std::mt19937_64 Random;
};

} // namespace endiverail
