#pragma once

#include "process/pool_scheduler.h"
#include "process/pool_use.h"
#include "process/service_scheduler.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace endiverail {

/// Selects the next request of a service to run, and the server for it.
template <typename T>
concept request_scheduler = requires(T Scheduler,
                                     const service_definition &Definition,
                                     std::span<const backend_server> Servers,
                                     waiting_request Request,
                                     std::string_view Server,
                                     attempt_signal Signal, rank Rank,
                                     request_id Id, steady_time Now) {
  {Scheduler.configure(Definition, Servers, Now)};
  {
    Scheduler.submit(std::move(Request), Now)
    } -> std::same_as<std::optional<request_id>>;
  {Scheduler.resubmit(std::move(Request), Now)};
  { Scheduler.next(Now) } -> std::same_as<std::optional<slot_assignment>>;
  {Scheduler.release(Server, Rank, Now)};
  {Scheduler.observe(Server, Signal, Now)};
  {Scheduler.markLeaving(Server, Now)};
  { Scheduler.cancel(Id) } -> std::same_as<bool>;
  { Scheduler.takeExpired(Now) } -> std::same_as<std::vector<waiting_request>>;
  { Scheduler.retries() } -> std::same_as<retry_budget &>;
  { Scheduler.waiting() } -> std::same_as<std::size_t>;
  { Scheduler.hasServers() } -> std::same_as<bool>;
};

/// A scheduler of the process that owns the backend servers: it decides which
/// of them to eject, and hands out trial requests for other proxies.
template <typename T>
concept ejecting_scheduler = request_scheduler<T> &&
    requires(T Scheduler, std::string_view Server,
             std::optional<steady_time> Until, steady_time Now) {
  {Scheduler.setEjected(Server, Until, Now)};
  {Scheduler.ejectionCandidates()};
  {Scheduler.recovered()};
  {Scheduler.takeForTrial(Now)};
};

/// A scheduler whose backend servers are shared with other processes: it takes
/// their reports of slots in use into account.
template <typename T>
concept sharing_scheduler = request_scheduler<T> &&
    requires(T Scheduler, std::string_view Server, std::string_view Instance,
             std::int64_t Started, std::size_t Count, milliseconds Length,
             const waiting_request &Request, steady_time Now) {
  {Scheduler.setRemoteSlots(Server, Count, Now)};
  {Scheduler.recordReached(Server, Now)};
  {Scheduler.recordWorkEnd(Server, Request.Id)};
  { Scheduler.isIdle(Server, Now) } -> std::same_as<bool>;
  /// Records that an incarnation of a server has announced that it is leaving;
  /// returns whether this was not known before.
  {
    Scheduler.recordLeavingAnnouncement(Server, Instance, Started)
    } -> std::same_as<bool>;
  {
    Scheduler.hasAnnouncedLeaving(Server, Instance, Started)
    } -> std::same_as<bool>;
  /// Removes all queued requests.
  { Scheduler.takeAll(Now) } -> std::same_as<std::vector<waiting_request>>;
  /// A server has asked for no requests from this process. Returns how long it
  /// gets none.
  {
    Scheduler.pauseServer(Server, Instance, Started, Length, Now)
    } -> std::same_as<std::optional<milliseconds>>;
  { Scheduler.isPaused(Server, Now) } -> std::same_as<bool>;
  { Scheduler.allPausedUntil(Now) } -> std::same_as<std::optional<steady_time>>;
  /// When a queued request may get a server because of the time alone.
  { Scheduler.nextOpening(Now) } -> std::same_as<std::optional<steady_time>>;
  /// How long a request is queued when no server has capacity for it.
  { Scheduler.maxQueueTime(Request) } -> std::same_as<milliseconds>;
  /// Which backend servers get no requests.
  { Scheduler.use(Now) } -> std::same_as<pool_use>;
  /// The delay after which a rejected request should be retried.
  { Scheduler.reserveRetryDelay(Now) } -> std::same_as<milliseconds>;
};

static_assert(ejecting_scheduler<service_scheduler>);
static_assert(sharing_scheduler<pool_scheduler>);

} // namespace endiverail
