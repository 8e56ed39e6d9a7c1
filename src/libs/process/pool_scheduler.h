#pragma once

#include "admission/organisation_shares.h"
#include "base/text.h"
#include "placement/pool_work.h"
#include "process/health_estimator.h"
#include "process/outlier_detector.h"
#include "process/pool_failure_rate.h"
#include "process/pool_use.h"
#include "process/rank_queue.h"
#include "process/retry_budget.h"
#include "process/service_scheduler.h"
#include "process/start_rate.h"
#include "version/fleet_view.h"
#include "version/service_definition.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiverail {

/// The position of this process among the \p Entries entries, which take turns
/// at trying an idle server. The first in turn owns the trial. An index out of
/// range owns no trials.
struct trial_partition {
  std::size_t Index = 0;
  std::size_t Entries = 1;
};

/// What a server's load is measured by when a request is placed.
enum class placement_measure {
  /// The number of its requests.
  SlotsInUse,
  /// The time that its requests are expected to take yet, in pools whose
  /// requests differ much in cost.
  RemainingWork,
};

/// Schedules the requests of one service whose backend servers are shared by
/// all proxies: selects the next request and its server. It counts the slots in
/// use here and those reported by other proxies, and weighs the probability
/// that a server fails a request against the expected queueing time there. Only
/// few servers may stay idle for long, so that the health of all of them is
/// known. A request for which no server has capacity is queued as long as it
/// can still be answered in time; otherwise it is rejected immediately with a
/// retry delay. The scheduler has no clock and no transport of its own.
class pool_scheduler {
public:
  pool_scheduler(const service_definition &Definition, std::uint64_t Seed);

  /// Applies a new definition or set of backend servers. A server that has been
  /// restarted at the same address is treated as a new one.
  void configure(const service_definition &Definition,
                 std::span<const backend_server> Servers, steady_time Now);

  /// Sets the data centre whose backend servers are preferred for bulk work.
  void setDataCentre(std::string_view Name) { DataCentre = Name; }
  void setPlacementMeasure(placement_measure Measure) { Placement = Measure; }
  /// Sets whether requests are compared at two servers drawn at random in all
  /// pools, not just in those of requests that differ much in cost. With many
  /// entries, whose reports are old, this keeps them from choosing alike.
  void setSamplesServers(bool Value) { SamplesServers = Value; }
  void setRetryLimits(retry_limits Limits) { Retries.setLimits(Limits); }
  /// Partitions the trials of servers that may be unhealthy between the
  /// entries, which would otherwise all try the same server at the same time.
  void setTrialPartition(trial_partition Partition) {
    TrialPartition = Partition;
  }

  /// Sets how late the reports of other entries are taken up here. A server
  /// that seems idle may have been used in that time.
  void setReportDelay(milliseconds Delay) { ReportDelay = Delay; }

  /// Queues a request. Returns the request that is rejected in exchange, if
  /// any; it may be the same one.
  std::optional<request_id> submit(waiting_request Request, steady_time Now);
  /// Queues a request again after a failed attempt.
  void resubmit(waiting_request Request, steady_time Now);
  /// The next request to start, if a backend server has capacity for it.
  std::optional<slot_assignment> next(steady_time Now);
  /// Releases the slot of an attempt.
  void release(std::string_view Server, rank Rank, steady_time Now);
  /// Records that the server no longer works on the request.
  void recordWorkEnd(std::string_view Server, request_id Id);
  /// Updates the state of a backend server from the signal of an attempt, made
  /// by this process or by another proxy, which reports it \p Age later.
  void observe(std::string_view Server, attempt_signal Signal, steady_time Now,
               milliseconds Age = milliseconds(0));
  /// Records that a request has reached a backend server.
  void recordReached(std::string_view Server, steady_time At);
  /// Returns whether no request is known to have reached the server for long.
  bool isIdle(std::string_view Server, steady_time Now) const;
  /// Marks a backend server as leaving, so that it gets no new requests. Ends
  /// when the server is no longer listed.
  void markLeaving(std::string_view Server, steady_time Now);
  /// Records that a backend server has itself announced that it is leaving. It
  /// gets no requests, however it is listed, until another incarnation is
  /// listed at its address. Returns whether this was not known before.
  bool recordLeavingAnnouncement(std::string_view Server,
                                 std::string_view Instance,
                                 std::int64_t Started);
  /// Returns whether that incarnation has announced that it is leaving.
  bool hasAnnouncedLeaving(std::string_view Server, std::string_view Instance,
                           std::int64_t Started) const;
  /// Sends an incarnation of a backend server no requests for \p Length, at its
  /// own request, or for MaxPause if that is shorter. Returns the time that
  /// applies, or nullopt if another incarnation has taken the server's place.
  std::optional<milliseconds> pauseServer(std::string_view Server,
                                          std::string_view Instance,
                                          std::int64_t Started,
                                          milliseconds Length, steady_time Now);
  /// Returns whether a backend server has asked for no requests until later.
  bool isPaused(std::string_view Server, steady_time Now) const;
  /// If all backend servers are paused: when the first of them may be used.
  std::optional<steady_time> allPausedUntil(steady_time Now) const;
  /// When the next pause of a backend server ends.
  std::optional<steady_time> nextPauseEnd(steady_time Now) const;
  /// When a backend server that may get no requests now may get some because of
  /// the time alone.
  std::optional<steady_time> nextOpening(steady_time Now) const;
  /// Returns whether a backend server is probably hanging or slow.
  bool isSlow(std::string_view Server, steady_time Now) const;
  /// Sets the number of a backend server's slots that other proxies use.
  void setRemoteSlots(std::string_view Server, std::size_t Slots,
                      steady_time Now);
  /// Returns the number of a backend server's slots that this process uses.
  std::uint32_t localSlots(std::string_view Server) const;
  /// Removes a queued request; returns false if it is not queued.
  bool cancel(request_id Id);
  /// Removes the requests that have reached their maximum queue time, and those
  /// whose servers are all paused until later than that.
  std::vector<waiting_request> takeExpired(steady_time Now);
  /// Removes all queued requests.
  std::vector<waiting_request> takeAll(steady_time Now);
  /// How long a request is queued when no server has capacity: as long as it
  /// can still be answered within its target time.
  static milliseconds maxQueueTime(const waiting_request &Request);

  retry_budget &retries() { return Retries; }
  std::size_t waiting() const;
  bool hasServers() const;
  std::vector<server_status> status(steady_time Now) const;
  /// Returns which backend servers get no requests, and why.
  pool_use use(steady_time Now) const;
  /// Returns the delay after which a request that is rejected now should be
  /// retried. Rejected requests are given successive times, spaced by the rate
  /// at which requests start here, so that the retries don't arrive together.
  milliseconds reserveRetryDelay(steady_time Now);

private:
  struct server_incarnation {
    std::string Instance;
    std::int64_t Started = 0;
  };

  struct pooled_server {
    endpoint_text Address;
    std::string Instance;
    std::int64_t Started = 0;
    std::string DataCentre;
    bool Leaving = false;
    /// No longer listed; kept until its running attempts have ended.
    bool Delisted = false;
    std::size_t Slots = 1;
    steady_time ColdUntil;
    std::size_t InUse = 0;
    std::size_t RemoteSlots = 0;
    /// The requests that hold the slots in use here, as far as their costs are
    /// estimated.
    server_work_left Work;
    health_estimator Health;
    health_estimator Shedding{SheddingModel};
    health_estimator Slowness{SlownessModel};
    /// Network path from this process; other proxies may reach the server.
    health_estimator Path{PathModel};
    /// Whether the last answer was a failure.
    bool Failing = false;
    /// Requests started here since RecentStartsSince.
    std::size_t RecentStarts = 0;
    steady_time RecentStartsSince;
    /// When a request last reached the server, as far as this process knows.
    steady_time LastUsed;
    /// When the server last failed a request.
    std::optional<steady_time> LastFailed;
    /// Until this time a request that has been sent to the server may reach it.
    steady_time PendingUntil;
    /// Whether no proxy has been seen using the server.
    bool NeverUsed = true;
    /// Why the last request that was placed while the server was idle has not
    /// been sent to it.
    idle_reason NotTried = idle_reason::NoRequest;
    steady_time NotTriedAt;
    /// Until this time the server is limited to FullLimit requests, after it
    /// rejected one for lack of capacity.
    steady_time FullUntil;
    std::size_t FullLimit = 0;
    /// Until this time the server wants no requests from this process.
    steady_time PausedUntil;

    std::size_t used() const { return InUse + RemoteSlots; }
    bool usable() const { return !Leaving && !Delisted; }
    bool isPaused(steady_time Now) const { return Now < PausedUntil; }
  };

  /// A server that can accept a request.
  struct choice {
    pooled_server *Server = nullptr;
    double Cost = 0;
  };

  pooled_server *find(std::string_view Address);
  const pooled_server *find(std::string_view Address) const;
  bool mostAreFailing(steady_time Now) const;
  bool manyFail(steady_time Now) const;
  /// Number of requests that the server may have, running and queued, with the
  /// last of them still answered within its target time.
  std::size_t capacityFor(const waiting_request &Request,
                          const pooled_server &Server, steady_time Now) const;
  bool placesByWork(const waiting_request &Request) const;
  /// Time left, in milliseconds, of the average request at the server.
  double timeLeftPerRequest(const waiting_request &Request,
                            const pooled_server &Server, steady_time Now) const;
  /// How long the request would be queued at the server, in milliseconds.
  double expectedWait(const waiting_request &Request,
                      const pooled_server &Server, steady_time Now) const;
  /// How long the request may be queued at a server, in milliseconds.
  double maxWait(const waiting_request &Request, steady_time Now) const;
  bool isBacklogged(const waiting_request &Request, std::size_t Ahead,
                    steady_time Now) const;
  bool isFlooding(const waiting_request &Request, steady_time Now) const;
  std::size_t requestsAhead(const waiting_request &Request) const;
  std::optional<request_id> takeDisplaced(const waiting_request &Added,
                                          steady_time Now);
  double costOf(const waiting_request &Request, const pooled_server &Server,
                steady_time Now) const;
  std::size_t maxUnconfirmedStarts(const pooled_server &Server) const;
  bool awaitsConfirmation(const pooled_server &Server, steady_time Now) const;
  std::optional<steady_time> opensAt(const pooled_server &Server,
                                     steady_time Now) const;
  bool mayRetry(const waiting_request &Request) const;
  std::optional<idle_reason> obstacleTo(const waiting_request &Request,
                                        const pooled_server &Server,
                                        steady_time Now) const;
  bool canAccept(const waiting_request &Request, const pooled_server &Server,
                 steady_time Now) const;
  bool isReachable(const pooled_server &Server, steady_time Now) const;
  bool isAvailable(const pooled_server &Server, steady_time Now) const;
  bool canStartInTime(const waiting_request &Request, steady_time Now) const;
  bool countsAsHealthy(const pooled_server &Server, steady_time Now) const;
  double maxIdleServers(const waiting_request &Request, std::ptrdiff_t Healthy,
                        steady_time Now) const;
  milliseconds idleTime(steady_time Now) const;
  std::size_t trialTurn(const pooled_server &Server) const;
  bool ownsTrialOf(const pooled_server &Server) const;
  steady_time::duration trialTurnLength(steady_time Now) const;
  bool isTrialDue(const pooled_server &Server, steady_time Since,
                  steady_time Now) const;
  void recordPoolFailure(const pooled_server &Server, attempt_signal Signal,
                         steady_time Now);
  void recordNotTried(const waiting_request &Request, bool TooMany,
                      steady_time Now);
  pooled_server *chooseIdleServer(const waiting_request &Request,
                                  steady_time Now);
  std::vector<choice> sampleChoices(const waiting_request &Request,
                                    std::vector<choice> Choices,
                                    steady_time Now);
  pooled_server *chooseServer(const waiting_request &Request, steady_time Now);
  void removeDelisted(steady_time Now);

  service_definition Definition;
  std::string DataCentre;
  trial_partition TrialPartition;
  milliseconds ReportDelay{0};
  /// Maximum number of idle servers for the last request that was placed.
  double IdleLimit = 0;
  std::vector<pooled_server> Servers;
  /// Index into Servers by address.
  std::unordered_map<endpoint_text, std::size_t, text_hash, std::equal_to<>>
      Positions;
  /// The last incarnation at an address that has announced that it is leaving.
  /// Kept while the address is not listed: a registration may return.
  std::map<endpoint_text, server_incarnation, std::less<>> AnnouncedLeaving;
  /// Queued requests by precedence.
  std::vector<rank_queue> Queues;
  /// Whether a request that goes before the one that is placed now is queued.
  bool MoreUrgentWaiting = false;
  organisation_shares Shares;
  retry_budget Retries;
  pool_failure_rate PoolFailures;
  placement_measure Placement = placement_measure::SlotsInUse;
  bool SamplesServers = false;
  pool_work PoolWork;
  /// Rate at which requests start in this process.
  start_rate StartRate;
  /// The retry time given to the last rejected request.
  steady_time LastRetryTime;
  /// Whether backend servers have been listed before; servers that are added
  /// later have just joined.
  bool PoolKnown = false;
  std::mt19937_64 Random;
};

} // namespace endiverail
