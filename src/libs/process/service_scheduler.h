#pragma once

#include "process/outlier_detector.h"
#include "process/rank_queue.h"
#include "process/retry_budget.h"
#include "version/fleet_view.h"
#include "version/service_definition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A request and the backend server whose slot it has been given.
struct slot_assignment {
  request_id Request = 0;
  endpoint_text Server;
  /// The instance that is expected at the address, if known.
  std::string Instance{};
  /// The probability that the server fails the request, and the number of its
  /// slots that are known to be in use.
  double FailureProbability = 0;
  std::size_t SlotsUsed = 0;
  std::size_t Slots = 0;
  /// How long no request is known to have reached the server, if it was idle.
  std::optional<milliseconds> IdleFor{};
  /// Start of that instance in milliseconds since the Unix epoch; 0 if unknown.
  std::int64_t Started = 0;
};

/// State of a backend server as its owner sees it.
enum class server_standing {
  /// Gets requests up to its limit.
  Serving,
  /// New, or back after an ejection: gets few concurrent requests.
  Warming,
  /// Any other server is preferred; gets one trial request at a time.
  Suspected,
  /// Gets only infrequent trial requests.
  Ejected,
  /// Gets no new requests.
  Leaving,
};

std::string_view standingName(server_standing Standing);

/// State of a backend server as reported to operators.
struct server_status {
  endpoint_text Server;
  server_standing Standing = server_standing::Serving;
  std::size_t InUse = 0;
  double Limit = 0;
  double Suspicion = 0;
};

/// Schedules the requests of one service on the proxy that owns it: selects the
/// next request and its server. Requests are queued by rank, with guaranteed
/// shares of the slots; the servers have adaptive concurrency limits, and those
/// that are detected as outliers are avoided or ejected. The scheduler has no
/// clock and no transport of its own.
class service_scheduler {
public:
  service_scheduler(const service_definition &Definition, std::uint64_t Seed);

  /// Applies a new definition or set of backend servers. Servers that are no
  /// longer listed are kept until their running attempts have ended.
  void configure(const service_definition &Definition,
                 std::span<const backend_server> Servers, steady_time Now);

  /// Queues a request. Returns the request that is dropped in exchange, if any;
  /// it may be the same one.
  std::optional<request_id> submit(waiting_request Request, steady_time Now);

  /// Queues a request again after a failed attempt.
  void resubmit(waiting_request Request, steady_time Now);

  /// Ends the ejections whose grant has expired.
  void endEjections(steady_time Now);

  /// The next request to start, if a slot is free for one.
  std::optional<slot_assignment> next(steady_time Now);

  /// Takes the next request for a trial through another proxy, without a slot
  /// here, if a failed trial would only delay it.
  std::optional<request_id> takeForTrial(steady_time Now);

  /// Releases the slot of an attempt.
  void release(std::string_view Server, rank Rank, steady_time Now);

  /// Updates the state of a backend server from the signal of an attempt.
  void observe(std::string_view Server, attempt_signal Signal, steady_time Now);

  /// Marks a backend server as leaving, as announced by the server itself.
  void markLeaving(std::string_view Server, steady_time Now);

  /// Ejects a backend server until the grant for the ejection expires; without
  /// \p Until, ends the ejection. An ejected server gets only infrequent trial
  /// requests.
  void setEjected(std::string_view Server, std::optional<steady_time> Until,
                  steady_time Now);

  /// Removes a queued request; returns false if it is not queued.
  bool cancel(request_id Id);

  /// Removes requests that can no longer be answered in time.
  std::vector<waiting_request> takeExpired(steady_time Now);

  /// Backend servers that have failed enough to be ejected and are not ejected
  /// yet.
  std::vector<endpoint_text> ejectionCandidates() const;

  /// Recent share of bad signals of a backend server.
  double failureShare(std::string_view Server, steady_time Now) const;

  /// Postpones the next trial of a backend server, while other proxies check
  /// its health.
  void postponeTrial(std::string_view Server, steady_time Until);

  /// Ejected backend servers whose trials have succeeded.
  std::vector<endpoint_text> recovered() const;

  retry_budget &retries() { return Retries; }

  std::size_t waiting() const;
  std::size_t inUse() const;
  std::size_t capacity() const;
  bool hasServers() const;
  std::vector<server_status> status(steady_time Now) const;

  /// When a trial of an ejected backend server becomes due.
  std::optional<steady_time> nextTrial() const;

private:
  struct scheduled_server {
    endpoint_text Address;
    bool Leaving = false;
    /// Until this time the server's own announcement overrides the host list,
    /// which may lag behind it.
    steady_time AnnouncedLeavingUntil;
    bool Delisted = false;
    bool Ejected = false;
    /// When the grant for the ejection expires.
    steady_time EjectedUntil;
    bool Warm = false;
    std::size_t InUse = 0;
    double Limit = 1;
    outlier_detector Detector;
    std::size_t SuccessfulTrials = 0;
    std::size_t Ejections = 0;
    steady_time NextTrial;
    steady_time LastEjection;
  };

  scheduled_server *find(std::string_view Address);
  const scheduled_server *find(std::string_view Address) const;
  double baselineFor(const scheduled_server &Server, steady_time Now) const;
  server_standing standing(const scheduled_server &Server) const;
  /// Returns whether the request may be sent to a server that may fail it.
  bool allowsTrial(const waiting_request &Request) const;
  bool hasFreeSlot(const scheduled_server &Server, steady_time Now) const;
  scheduled_server *chooseServer(const waiting_request &Request,
                                 steady_time Now);
  std::optional<rank> chooseRank(steady_time Now) const;
  bool mayStart(rank Rank, steady_time Now) const;
  double guaranteedSlots(rank Rank) const;
  void raiseLimit(scheduled_server &Server);
  void endEjection(scheduled_server &Server);
  void removeDelisted();

  service_definition Definition;
  std::vector<scheduled_server> Servers;
  std::vector<rank_queue> Queues;
  per_rank<std::size_t> InUseByRank{};
  retry_budget Retries;
  std::mt19937_64 Random;
};

} // namespace endiverail
