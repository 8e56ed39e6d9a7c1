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

/// A request and the backend server whose slot it now holds.
struct slot_assignment {
  request_id Request = 0;
  endpoint_text Server;
  /// The instance that is expected there, where it is known.
  std::string Instance{};
  /// The chance that it fails, and the slots used there, as known.
  double FailureProbability = 0;
  std::size_t SlotsUsed = 0;
  std::size_t Slots = 0;
};

/// How a backend server stands with its owner.
enum class server_standing {
  /// Takes work up to its limit.
  Serving,
  /// Just seen for the first time or returned: few requests at once.
  Warming,
  /// Prefers any other; takes a trial at a time.
  Suspected,
  /// Takes only rare trials.
  Ejected,
  /// Takes nothing new.
  Leaving,
};

std::string_view standingName(server_standing Standing);

/// A backend server's state for people.
struct server_status {
  endpoint_text Server;
  server_standing Standing = server_standing::Serving;
  std::size_t InUse = 0;
  double Limit = 0;
  double Suspicion = 0;
};

/// Decides, for one service on its owner, which request runs next and where:
/// slots, queues by rank, guaranteed shares, adaptive limits and steering by
/// evidence. It knows no clock and no transport.
class service_scheduler {
public:
  service_scheduler(const service_definition &Definition, std::uint64_t Seed);

  /// Takes over a new definition or set of backend servers. Slots in use of
  /// those that are gone are remembered until their attempts finish.
  void configure(const service_definition &Definition,
                 std::span<const backend_server> Servers, steady_time Now);

  /// Lets a request wait. Returns the request that has to leave for it, which
  /// may be the same one.
  std::optional<request_id> submit(waiting_request Request, steady_time Now);

  /// Lets a request wait again after a failed attempt.
  void resubmit(waiting_request Request, steady_time Now);

  /// Takes back ejections whose right has ended.
  void endEjections(steady_time Now);

  /// The next request to start, if a slot is free for one.
  std::optional<slot_assignment> next(steady_time Now);

  /// Takes a request that may be risked on a trial elsewhere, without a slot.
  std::optional<request_id> takeForTrial(steady_time Now);

  /// Frees the slot that an attempt held.
  void release(std::string_view Server, rank Rank, steady_time Now);

  /// Takes what an attempt has shown of a backend server.
  void observe(std::string_view Server, attempt_signal Signal, steady_time Now);

  /// A backend server has said itself that it leaves.
  void markLeaving(std::string_view Server, steady_time Now);

  /// Ejects a backend server for as long as the right to do so lasts; nothing
  /// takes it back. It then gets rare trials only.
  void setEjected(std::string_view Server, std::optional<steady_time> Until,
                  steady_time Now);

  /// Removes a request that waits; false when it does not.
  bool cancel(request_id Id);

  /// Removes requests that can no longer be answered in time.
  std::vector<waiting_request> takeExpired(steady_time Now);

  /// Backend servers with enough evidence to eject that are not ejected yet.
  std::vector<endpoint_text> ejectionCandidates() const;

  /// Share of bad signals that a backend server has shown lately.
  double failureShare(std::string_view Server, steady_time Now) const;

  /// Lets others find out how a backend server is, in place of trials.
  void postponeTrial(std::string_view Server, steady_time Until);

  /// Ejected backend servers whose trials went well.
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
    /// Its own word goes before a lagging host list until then.
    steady_time AnnouncedLeavingUntil;
    bool Delisted = false;
    bool Ejected = false;
    /// The right to eject is not proven beyond this.
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
  /// Whether a request may be risked on a backend server that may fail it.
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
