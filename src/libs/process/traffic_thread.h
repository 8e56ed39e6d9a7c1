#pragma once

#include "base/hash.h"
#include "base/time_source.h"
#include "connection/backend_attempt.h"
#include "connection/response_classification.h"
#include "connection/response_message.h"
#include "process/active_request.h"
#include "process/attempt_fields.h"
#include "process/death_detector.h"
#include "process/event_loop.h"
#include "process/idempotency_key.h"
#include "process/key_registry.h"
#include "process/mailbox.h"
#include "process/memory_budget.h"
#include "process/message_dialect.h"
#include "process/metrics.h"
#include "process/overload_controller.h"
#include "process/pool_use.h"
#include "process/published.h"
#include "process/quota_admission.h"
#include "process/request_log.h"
#include "process/request_timers.h"
#include "process/response_writer.h"
#include "process/service_state.h"
#include "process/thread_lag.h"
#include "process/traffic_message.h"
#include "version/peer_choice.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiverail {

struct traffic_settings {
  std::string FleetSecret;
  key_settings Keys;
  std::uint64_t Seed = 1;
  /// Data centre in which this process runs.
  std::string DataCentre{};
  /// Retries that the operator allows for the whole fleet, if limited.
  retry_allowance Retries{};
  quota_settings Quotas{};
  /// What a server's load is measured by where all proxies share the pool.
  placement_measure Placement = placement_measure::SlotsInUse;
  /// Whether requests are compared at two servers drawn at random in all pools.
  bool SamplesServers = false;
  /// Responses up to this size are buffered until they are complete, so that
  /// the request can be retried if the connection is lost in the middle of one.
  std::size_t MaxBufferedBytes = std::size_t{64} * 1024;
  /// Latest version published by the control thread, used to check a backend
  /// server again right before a request is sent to it. Null if versions are
  /// delivered only by message. Must outlive the thread.
  const published<fleet_version> *Versions = nullptr;
  /// Time until which the list of backend servers in the published version may
  /// be used. Null if versions do not expire. Must outlive the thread.
  const std::atomic<steady_time> *ServersUsableUntil = nullptr;
  /// Told when requests are taken up. Null if nothing asks for it. Must outlive
  /// the thread.
  overload_controller *Overload = nullptr;
  /// Account of the memory for callers, which buffered responses count toward.
  /// Null if they don't. Must outlive the thread.
  memory_budget *CallerMemory = nullptr;
};

/// Processes the requests of the services assigned to this thread. One thread
/// owns it; other threads send messages with post(). Template parameters select
/// the transport, the receiver of responses, the control link, the time source,
/// the scheduling policy and the message dialect.
template <template <typename> typename TransportOf, response_sink Sink,
          control_link Link, time_source Time = machine_time,
          request_scheduler Policy = service_scheduler,
          message_dialect Dialect = fleet_dialect>
class traffic_thread {
  using state = service_state<Policy>;

  struct waiting_message {
    /// When the first message of its batch was posted.
    steady_time PostedBy;
    traffic_message Message;
  };

public:
  traffic_thread(poller Poller, event_descriptor Event,
                 traffic_settings Settings, Sink &Output, Link &Control,
                 process_metrics &Metrics, Time Clock = {},
                 Dialect MessageDialect = {})
      : Poller(std::move(Poller)), Inbox(std::move(Event)),
        Settings(std::move(Settings)),
        MessageDialect(std::move(MessageDialect)),
        Responses(Output, Metrics, this->MessageDialect), Control(Control),
        Metrics(Metrics), Clock(std::move(Clock)),
        Transport(this->Poller, *this), Keys(this->Settings.Keys),
        Quotas(this->Settings.Quotas, this->Settings.Seed, Metrics,
               this->Clock.now()) {
    this->Poller.watch(Inbox.descriptor(), true, false);
  }

  /// Queues a message for this thread. Thread-safe.
  void post(traffic_message Message) { Inbox.post(std::move(Message)); }

  TransportOf<traffic_thread> &transport() { return Transport; }
  int inboxDescriptor() const { return Inbox.descriptor(); }

  /// Runs the event loop on the calling thread. Returns after a finish_traffic
  /// message, once all requests are answered or immediately if it says so.
  void run() { runEventLoop(Poller, *this); }

  void onReady(const ready_descriptor &Ready, steady_time) {
    if (Ready.Descriptor == Inbox.descriptor())
      InboxReady = true;
    else
      Transport.onReady(Ready);
  }

  /// Handles all pending messages.
  void readInbox(steady_time Now) {
    takeInbox();
    while (!Messages.empty())
      handleFirst(Messages, Now);
    while (!PeerReports.empty())
      handleFirst(PeerReports, Now);
    startNextOfReported(Now);
  }

  /// The responses of backend servers have been read by now. What is due goes
  /// before new work, so that requests end in time on a busy thread, too.
  void onWake(steady_time Now) {
    Transport.onWake(Now);
    runTimers(Now);
    for (const death_detector::death &Death : Deaths.takeDeaths(Now))
      onDeath(Death, Now);
    if (InboxReady && Messages.empty())
      takeInbox();
    handleSome(Messages);
    dropOldReports(Now);
    handleSome(PeerReports);
    startNextOfReported(Clock.now());
    if (ScheduledWake && Now >= *ScheduledWake)
      startNextOfAll(Now);
    if (Now >= NextReport)
      reportStatus(Now);
    if (auto Report = Quotas.takeReport(Now))
      Control.notify(std::move(*Report));
    if (auto Ended = Lag.report(Now))
      applyLag(*Ended);
  }

  std::optional<steady_time> nextWake() const {
    std::optional<steady_time> Next = Transport.nextWake();
    auto Consider = [&](std::optional<steady_time> At) {
      if (At && (!Next || *At < *Next))
        Next = At;
    };
    Consider(Timers.nextDue());
    Consider(ScheduledWake);
    Consider(Deaths.nextWake());
    Consider(Quotas.nextReport());
    if (!Requests.empty())
      Consider(NextReport);
    if (!Messages.empty() || !PeerReports.empty())
      Consider(steady_time{});
    return Next;
  }

  bool finished() const {
    return Finishing && (Immediate || (Requests.empty() && Messages.empty()));
  }

  /// Finished keys to hand over to the successor of this process. May be called
  /// only after run() has returned.
  std::vector<remembered_key> rememberedKeys(steady_time Now) const {
    return Keys.remembered(Now);
  }

  // Callbacks of the transport; see attempt_observer.

  /// Checks the backend server against the published version, whose message may
  /// not have reached this thread yet.
  bool mayStart(attempt_id Id) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return true;
    // The order matters: the control thread publishes a version before it
    // extends ServersUsableUntil.
    Active->Attempt->Connected =
        !Settings.Versions ||
        Active->Attempt->Target.Route != attempt_route::Slot ||
        (!serversUnconfirmed(Clock.now()) && !isPaused(*Active, Clock.now()) &&
         !hasAnnouncedLeaving(*Active, Active->Attempt->Target) &&
         isUsable(*Active, Active->Attempt->Target.Server));
    return Active->Attempt->Connected;
  }

  std::optional<error_kind> onHead(attempt_id Id, backend_response_head Head) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return error_kind::Internal;
    running_attempt &Attempt = *Active->Attempt;
    auto Refused = Attempt.Target.Route == attempt_route::Peer
                       ? checkConfirmation(Attempt, Head)
                       : checkResponse(*Active, Head, Clock.now());
    if (Refused)
      return Refused;
    Attempt.Head = std::move(Head);
    return std::nullopt;
  }

  bool onBodyData(attempt_id Id, std::string_view Piece) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return true;
    if (Active->UnwrittenBytes + Active->Buffered.size() >
        maxUnwrittenBytes()) {
      // Only what is written makes the response go on.
      if (!Active->Buffered.empty())
        forwardBuffered(*Active);
      Active->Paused = true;
      return false;
    }
    Active->Buffered.append(Piece);
    if (Active->HeadSent || Active->Buffered.size() > maxBufferedBytes())
      forwardBuffered(*Active);
    else
      holdBuffered(*Active);
    return true;
  }

  void onEnd(attempt_id Id, const attempt_end &End) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return;
    steady_time Now = Clock.now();
    running_attempt Attempt = std::move(*Active->Attempt);
    Attempt.Connection = End.Connection;
    if (End.Discarded) {
      Metrics.onDiscardedConnection(Active->Request.Service->Definition.Name);
      if (sharing_scheduler<Policy>)
        request_log::connectionDiscarded(*Active, Attempt, *End.Discarded);
    }
    Active->Attempt.reset();
    ByAttempt.erase(Id);
    if (End.Withdrawn) {
      rescheduleWithdrawn(*Active, Attempt, Now);
      startNextAfter(Attempt, Now);
      return;
    }
    Attempt.StaleConnection = isStaleConnection(Attempt, End, Now);
    if (Attempt.StaleConnection)
      recordStaleConnection(*Active, Attempt, Now);
    else
      recordAttemptResult(*Active, Attempt, End, Now);
    if (End.Failure && sharing_scheduler<Policy>)
      request_log::attemptFailed(*Active, Attempt, End, Now);
    if (End.Failure && End.Failure->Kind == error_kind::ForeignAnswer)
      Metrics.onForeignAnswer(Active->Request.Service->Definition.Name);
    if (End.Failure)
      handleFailedAttempt(*Active, Attempt, *End.Failure, Now);
    else
      completeRequest(*Active, Attempt, Now);
    startNextAfter(Attempt, Now);
  }

private:
  void applyLag(const thread_lag::period &Ended) {
    Metrics.setGauge(
        "traffic_late_milliseconds",
        static_cast<double>(std::max(Ended.Messages, Ended.Timers).count()));
    if constexpr (sharing_scheduler<Policy>)
      for (auto &[Name, State] : Services)
        State.Scheduler.setReportDelay(Ended.Messages);
  }

  /// Whether the list of backend servers has gone unconfirmed for too long. A
  /// server may have left in the meantime.
  bool serversUnconfirmed(steady_time Now) const {
    return Settings.ServersUsableUntil &&
           Now >= Settings.ServersUsableUntil->load();
  }

  /// Whether the server itself has announced that it is leaving.
  bool hasAnnouncedLeaving([[maybe_unused]] const active_request &Active,
                           [[maybe_unused]] const attempt_target &Target) {
    if constexpr (sharing_scheduler<Policy>)
      return stateOf(Active).Scheduler.hasAnnouncedLeaving(
          Target.Server, Target.Instance, Target.Started);
    else
      return false;
  }

  /// Whether the published version lists the server as accepting requests.
  bool isUsable(const active_request &Active, std::string_view Server) const {
    fleet_version_ref Latest = Settings.Versions->load();
    auto Pool = Latest->View.pool(Active.Request.Service->Definition.Pool);
    return std::ranges::any_of(Pool, [&](const backend_server &Each) {
      return Each.Address == Server && Each.State != server_state::Leaving;
    });
  }

  /// Whether the attempt's server has asked for a pause since it was chosen.
  bool isPaused([[maybe_unused]] const active_request &Active,
                [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      return stateOf(Active).Scheduler.isPaused(Active.Attempt->Target.Server,
                                                Now);
    return false;
  }

  /// Keeps the attempt's server from getting requests if it has asked for that.
  void applyPause([[maybe_unused]] active_request &Active,
                  [[maybe_unused]] const response_classification &Response,
                  [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      state &State = stateOf(Active);
      const std::string &Service = Active.Request.Service->Definition.Name;
      const attempt_target &Target = Active.Attempt->Target;
      if (!Response.UnreadablePause.empty()) {
        Metrics.onPauseRequest(Service, false);
        request_log::pauseUnreadable(Active, Response.UnreadablePause);
      }
      if (!Response.Pause)
        return;
      Active.Attempt->AskedForPause = true;
      auto Applied = State.Scheduler.pauseServer(
          Target.Server, Target.Instance, Target.Started, *Response.Pause, Now);
      if (!Applied)
        return;
      Metrics.onPauseRequest(Service, true);
      request_log::serverPaused(Active, *Response.Pause, *Applied);
    }
  }

  /// Why a request is rejected without an attempt.
  static std::string_view rejectionDetail([[maybe_unused]] const state &State,
                                          std::string_view UsualDetail,
                                          [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      if (State.Scheduler.allPausedUntil(Now))
        return "all backend servers have asked for a pause";
    return UsualDetail;
  }

  void forwardBuffered(active_request &Active) {
    Responses.forwardBuffered(Active);
    holdBuffered(Active);
  }

  void holdBuffered(active_request &Active) {
    if (!Active.BufferedHold)
      Active.BufferedHold.emplace(Settings.CallerMemory);
    Active.BufferedHold->resize(Active.Buffered.size());
  }

  bool isShortOfMemory() const {
    return Settings.CallerMemory && Settings.CallerMemory->overdrawn();
  }
  std::size_t maxBufferedBytes() const {
    return isShortOfMemory()
               ? std::min(ScarceBufferedBytes, Settings.MaxBufferedBytes)
               : Settings.MaxBufferedBytes;
  }
  std::size_t maxUnwrittenBytes() const {
    return isShortOfMemory() ? 2 * ScarceBufferedBytes
                             : MaxUnwrittenBytes + Settings.MaxBufferedBytes;
  }

  /// Limit for buffered responses while the memory for callers is used up.
  static constexpr std::size_t ScarceBufferedBytes = std::size_t{16} * 1024;

  /// Limit for the bytes of one response that are waiting to be written to the
  /// caller, in addition to MaxBufferedBytes.
  static constexpr std::size_t MaxUnwrittenBytes = std::size_t{448} * 1024;
  static constexpr milliseconds ReportPeriod{1'000};
  static constexpr std::chrono::seconds CostReportPeriod{10};
  /// Number of routes of a service whose costs are reported.
  static constexpr std::size_t MaxReportedRoutes = 4;
  /// A version that takes longer than this to reach the thread is logged.
  static constexpr milliseconds LateVersionThreshold{200};

  /// Interval and maximum number of retries for finding the holder of a key,
  /// which may be in the middle of a key handover.
  static constexpr milliseconds HolderRetryDelay{100};
  static constexpr std::size_t MaxHolderRetries = 5;

  /// Postpones trials of a backend server while another proxy is asked to
  /// confirm its failure.
  static constexpr milliseconds ConfirmationTrialDelay{500};

  // Messages.

  /// How long messages of a kind keep responses and timers waiting.
  static constexpr milliseconds MaxHandling{5};

  void takeInbox() {
    InboxReady = false;
    auto Batch = Inbox.takeAll();
    for (traffic_message &Message : Batch.Messages)
      (std::holds_alternative<peer_work>(Message) ? PeerReports : Messages)
          .push_back({Batch.FirstPosted, std::move(Message)});
  }

  void handleFirst(std::deque<waiting_message> &Waiting, steady_time Now) {
    traffic_message Message = std::move(Waiting.front().Message);
    Waiting.pop_front();
    std::visit([&](auto &Part) { handle(Part, Now); }, Message);
  }

  void handleSome(std::deque<waiting_message> &Waiting) {
    steady_time Begin = Clock.now();
    for (steady_time Now = Begin; !Waiting.empty() && Now < Begin + MaxHandling;
         Now = Clock.now()) {
      Lag.recordMessages(Waiting.front().PostedBy, Now);
      handleFirst(Waiting, Now);
    }
  }

  /// Reports that are too old to place requests by would only keep newer ones
  /// waiting; slots in use are reported again within this time.
  void dropOldReports(steady_time Now) {
    auto IsFresh = [Now](const waiting_message &Report) {
      return Now < Report.PostedBy + work_report_builder::RefreshInterval;
    };
    auto FirstFresh = std::ranges::find_if(PeerReports, IsFresh);
    if (FirstFresh == PeerReports.begin())
      return;
    DroppedReports += static_cast<std::uint64_t>(
        std::distance(PeerReports.begin(), FirstFresh));
    Metrics.setGauge("dropped_reports_total",
                     static_cast<double>(DroppedReports));
    PeerReports.erase(PeerReports.begin(), FirstFresh);
  }

  void handle(run_request &Run, steady_time Now) {
    request_id Id = Run.Request.Id;
    active_request &Active = Requests[Id];
    Active.Request = std::move(Run.Request);
    Active.TakenUp = Now;
    if (Settings.Overload)
      Settings.Overload->recordTakenUp(Now);
    ByConnection[Active.Request.ResponseHandle.Connection] = Id;
    Timers.add(Active.Request.Deadline, {Id, 0, timer_kind::Deadline});
    runStep(Active, Now, [&]() -> result<void> {
      if (Version)
        BOOST_LEAF_CHECK(Quotas.admit(Active, *Version, Now));
      return admit(Active, Now);
    });
  }

  void handle(quota_shares &Answer, steady_time Now) {
    // Without a version there is nothing to report, and nobody to report to.
    if (!Version || !Version->Organisations)
      return;
    // Without a version there is nothing to report, and nobody to report to.
    if (Version && Version->Organisations)
      Quotas.onShares(Answer.Shares, Now);
  }

  /// Runs a step of a request and responds with the error if the step fails.
  template <typename Step>
  void runStep(active_request &Active, steady_time Now, Step &&Run) {
    handleFailure(std::forward<Step>(Run), [&](const failure &Failure) {
      respondWithError(Active, Failure.Kind, Failure.Detail, Now);
    });
  }

  void handle(response_written &Written, steady_time) {
    active_request *Active = findByResponseHandle(Written.ResponseHandle);
    if (!Active)
      return;
    Active->UnwrittenBytes -= std::min(Active->UnwrittenBytes, Written.Bytes);
    if (Active->Attempt && Active->Paused &&
        Active->UnwrittenBytes < maxUnwrittenBytes() / 2) {
      Active->Paused = false;
      Transport.resume(Active->Attempt->Id);
    }
  }

  void handle(caller_gone &Gone, steady_time Now) {
    active_request *Active = findByResponseHandle(Gone.ResponseHandle);
    if (!Active)
      return;
    Active->CallerGone = true;
    if (sharing_scheduler<Policy>)
      request_log::callerGone(*Active, Now);
    if (!Active->Attempt) {
      stateOf(*Active).Scheduler.cancel(Active->Request.Id);
      if (Active->HoldsKey)
        Keys.forget(keyOf(Active->Request));
      Quotas.takeBack(*Active, Now);
      removeRequest(*Active);
      return;
    }
    // A request that is not idempotent runs to completion, so that a caller who
    // sends the key again learns the outcome.
    if (!Active->isIdempotent() && !Active->HeadSent)
      return;
    if (Active->HoldsKey)
      storeResponseTooLarge(*Active, Now);
    running_attempt Attempt = cancelAttempt(*Active, Now);
    removeRequest(*Active);
    startNextAfter(Attempt, Now);
  }

  void handle(version_changed &Changed, steady_time Now) {
    Version = std::move(Changed.Version);
    if (Changed.Published) {
      Metrics.setGauge(
          "version_late_milliseconds",
          request_log::millisecondsBetween(*Changed.Published, Now));
      if (Now > *Changed.Published + LateVersionThreshold)
        request_log::versionLate(Version->Number, *Changed.Published, Now);
    }
    Quotas.onVersion(*Version);
    if (Version->Organisations)
      rejectRevoked(*Version->Organisations, Now);
    for (auto &[Name, State] : Services) {
      configure(Name, State, Now);
      startNext(Name, Now);
    }
  }

  /// Rejects the queued requests whose access key is no longer valid and whose
  /// route needs one.
  void rejectRevoked(const organisation_table &Organisations, steady_time Now) {
    auto IsRevoked = [&](const active_request &Active) {
      const auto &Hash = Active.Request.AccessKeyHash;
      return Hash && !Active.Attempt && !Organisations.holdsKey(*Hash);
    };
    std::vector<request_id> Revoked;
    for (const auto &[Id, Active] : Requests)
      if (IsRevoked(Active))
        Revoked.push_back(Id);
    for (request_id Id : Revoked) {
      active_request &Active = Requests.at(Id);
      if (Active.Request.Public) {
        forgetOrganisation(Active, Now);
        continue;
      }
      stateOf(Active).Scheduler.cancel(Id);
      respondWithError(Active, error_kind::UnknownAccessKey,
                       "the access key was removed while the request waited",
                       Now);
    }
  }

  void forgetOrganisation(active_request &Active, steady_time Now) {
    Quotas.takeBack(Active, Now);
    Active.Request.Organisation.clear();
    Active.Request.OrganisationRank.reset();
    Active.Request.AccessKeyHash.reset();
  }

  void handle(servers_confirmed &, steady_time Now) {
    for (const std::string &Name : Services | std::views::keys)
      startNext(Name, Now);
  }

  void handle([[maybe_unused]] ejection_changed &Change,
              [[maybe_unused]] steady_time Now) {
    if constexpr (ejecting_scheduler<Policy>) {
      auto Found = Services.find(Change.Service);
      if (Found == Services.end())
        return;
      Found->second.Scheduler.setEjected(Change.Server, Change.Until, Now);
      startNext(Change.Service, Now);
    }
  }

  /// Merges another proxy's observations of the backend servers.
  void handle([[maybe_unused]] peer_work &Peer,
              [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      state *State = stateOf(Peer.Report.Service);
      if (!State)
        return;
      for (const server_work &Work : Peer.Report.Servers)
        State->applyRemoteWork(Peer.ProxyId, Work, Now);
      ReportedServices.insert(Peer.Report.Service);
    }
  }

  /// Places queued requests by what peers have reported.
  void startNextOfReported(steady_time Now) {
    for (const std::string &Name : std::exchange(ReportedServices, {}))
      startNext(Name, Now);
  }

  void handle(server_death &Death, steady_time Now) {
    Quarantine.recordDeath(Death.Fingerprint, Death.Server, Now);
  }

  void handle(inherited_keys &Inherited, steady_time Now) {
    Keys.inherit(Inherited.Keys, Now);
  }

  void handle(retries_changed &Change, steady_time) {
    Settings.Retries = Change.Retries;
    if constexpr (sharing_scheduler<Policy>)
      if (Version)
        for (auto &[Name, State] : Services)
          State.Scheduler.setRetryLimits(
              Settings.Retries.limitsFor(Version->EntryCount));
  }

  void handle(terminate_requests &, steady_time Now) {
    std::vector<request_id> Remaining;
    std::ranges::copy(Requests | std::views::keys,
                      std::back_inserter(Remaining));
    for (request_id Id : Remaining)
      terminateRequest(Requests.at(Id), Now);
  }

  void handle(finish_traffic &Finish, steady_time) {
    Finishing = true;
    Immediate = Finish.Immediate;
  }

  // Admission.

  result<void> admit(active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    if (!Version || !Version->Ready)
      return endiverail::fail(
          error_kind::NotReady,
          "the configuration or the host list is not loaded yet");
    if (Now >= Request.Deadline)
      return endiverail::fail(error_kind::DeadlineBeforeRun,
                              "the deadline has already passed");
    Active.Fingerprint =
        fingerprintOf(Request.Service->Definition.Name, Request.Kind->Name,
                      Request.Target, Request.Body);
    if (Quarantine.isQuarantined(Active.Fingerprint, Now))
      return endiverail::fail(
          error_kind::Quarantined,
          "two backend servers terminated while running this request");
    if (!Request.Kind->Idempotent && !Request.Key.empty()) {
      BOOST_LEAF_AUTO(Handled, admitKey(Active, Now));
      if (Handled)
        return {};
    }
    return forwardOrQueue(Active, Now);
  }

  /// Decides by the request's key whether to run the request. Returns true if
  /// it needs no further processing here.
  result<bool> admitKey(active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    auto Key = idempotency_key::parse(Request.Key, Settings.FleetSecret);
    if (!Key) {
      // No proxy can have run a request under an invalid key, so
      // isKeyHeldElsewhere() must not consider it.
      Active.Request.Key.clear();
      return endiverail::fail(error_kind::BadRequest,
                              "the key was not issued by this fleet");
    }
    BOOST_LEAF_AUTO(Admission, Keys.admit(keyOf(Request), *Key, *Version,
                                          Clock.wall(), Now));
    switch (Admission.Decision) {
    case key_decision::Run:
      Active.HoldsKey = true;
      return false;
    case key_decision::Replay:
      replay(Active, *Admission.Answer, Now);
      return true;
    case key_decision::AskHolder:
      if (Request.Forwarded)
        break;
      startAttempt(Active, toPeer(Admission.Holder->Address), Now);
      return true;
    case key_decision::HolderUnknown:
      if (!scheduleHolderRetry(Active, Now))
        break;
      return true;
    }
    return endiverail::fail(
        error_kind::KeyExpired,
        "the holder of the key is unknown; the request was not run now");
  }

  void replay(active_request &Active, const stored_response &Stored,
              steady_time Now) {
    response_head Head = Stored.Head;
    Head.Headers.push_back({"Endiverail-Replayed", "true"});
    respond(Active, std::move(Head), Stored.Body, "", Now);
  }

  /// Schedules another lookup of the key's holder. Returns false if the request
  /// is forwarded, or no retry or no time is left.
  bool scheduleHolderRetry(active_request &Active, steady_time Now) {
    if (Active.Request.Forwarded || Active.HolderRetries == MaxHolderRetries ||
        Now + HolderRetryDelay >= Active.Request.Deadline)
      return false;
    ++Active.HolderRetries;
    Timers.add(Now + HolderRetryDelay,
               {Active.Request.Id, 0, timer_kind::HolderRetry});
    return true;
  }

  /// Keys are scoped to a service, all of whose requests are processed by this
  /// thread.
  static std::string keyOf(const caller_request &Request) {
    return Request.Service->Definition.Name + "/" + Request.Key;
  }

  /// Forwards the request to the owner of the backend servers, or queues it for
  /// a slot on this proxy.
  result<void> forwardOrQueue(active_request &Active, steady_time Now) {
    if (!Active.Request.TryServer.empty())
      return startTrialForPeer(Active, Now);
    std::string Name = Active.Request.Service->Definition.Name;
    request_id Id = Active.Request.Id;
    bool OwnsServers = !Version->ownServers(Name).empty();
    if (!OwnsServers && !Active.Request.Forwarded)
      if (const service_owner *Owner = chooseOwner(
              *Version, Name, Active.FailedServers, Active.Request.Id)) {
        Metrics.onForward(Name);
        startAttempt(Active, toPeer(Owner->Address), Now);
        return {};
      }
    state &State = stateOf(Active);
    if (!State.Scheduler.hasServers())
      return endiverail::fail(error_kind::NoBackendServer,
                              "the pool has no backend servers");
    auto Dropped =
        State.Scheduler.submit(makeWaitingRequest(Active, State), Now);
    if (Dropped)
      respondWithError(
          Requests.at(*Dropped), error_kind::QueueFull,
          rejectionDetail(State, "the queue for this rank is full", Now), Now);
    startNext(Name, Now);
    scheduleQueueTimeout(Id, Now);
    return {};
  }

  /// Sets a timer for a request that found no free slot. It fires when the
  /// request has been queued for the maximum queue time.
  void scheduleQueueTimeout([[maybe_unused]] request_id Id,
                            [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      auto Found = Requests.find(Id);
      if (Found == Requests.end() || Found->second.Attempt)
        return;
      state &State = stateOf(Found->second);
      Timers.add(
          Now + Policy::maxQueueTime(makeWaitingRequest(Found->second, State)),
          {Id, 0, timer_kind::Deadline});
    }
  }

  /// Sends the request to the backend server that a peer wants to be tried.
  result<void> startTrialForPeer(active_request &Active, steady_time Now) {
    const endpoint_text &Server = Active.Request.TryServer;
    auto Pool = Version->View.pool(Active.Request.Service->Definition.Pool);
    if (std::ranges::find(Pool, Server, &backend_server::Address) == Pool.end())
      return endiverail::fail(error_kind::NoBackendServer,
                              "the backend server to be tried is unknown");
    startAttempt(Active, {Server, attempt_route::Trial, "", ""}, Now);
    return {};
  }

  waiting_request makeWaitingRequest(const active_request &Active,
                                     state &State) {
    const caller_request &Request = Active.Request;
    return {Request.Id,
            Request.Kind->Rank,
            Request.Kind->Bulk,
            Request.Kind->Idempotent,
            Request.Organisation,
            Request.ReadAt,
            Request.Kind->LatencyTarget,
            Request.Deadline,
            State.answerTimes(*Request.Kind).usual(),
            Active.FailedServers,
            Request.OrganisationRank,
            Request.OrganisationWeight,
            sharing_scheduler<Policy> ? State.Costs.estimate(traitsOf(Request))
                                      : cost_estimate{}};
  }

  static request_traits traitsOf(const caller_request &Request) {
    return {Request.Kind->Name,   Request.Method,
            Request.path(),       Request.Body.size(),
            Request.Organisation, Request.Kind->LatencyTarget};
  }

  /// Time for which the server has worked on the attempt, without the time
  /// spent waiting for a slot.
  static microseconds workTime(const running_attempt &Attempt,
                               steady_time Now) {
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(Now - Attempt.Started) /
        Attempt.Target.queueingFactor());
  }

  /// Records an attempt that ends without an answer of its server. Its cost is
  /// known to be no less than what it has taken.
  void recordUnansweredWork([[maybe_unused]] const active_request &Active,
                            [[maybe_unused]] const running_attempt &Attempt,
                            [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      if (Attempt.Connected && !Attempt.Head && !Attempt.Rejected)
        stateOf(Active).Costs.recordCensored(traitsOf(Active.Request),
                                             workTime(Attempt, Now));
  }

  state &stateOf(const active_request &Active) {
    return stateOf(Active.Request.Service->Definition);
  }

  state &stateOf(const service_definition &Definition) {
    auto [Found, Added] =
        Services.try_emplace(Definition.Name, Definition,
                             Settings.Seed ^ stableHash(Definition.Name));
    if (Added)
      configure(Definition.Name, Found->second, Clock.now());
    return Found->second;
  }

  /// State of the named service, or nullptr if the configuration lacks it.
  state *stateOf(std::string_view Name) {
    auto Found = Services.find(Name);
    if (Found != Services.end())
      return &Found->second;
    accepted_service_ref Service =
        Version ? Version->Configuration.find(Name) : nullptr;
    return Service ? &stateOf(Service->Definition) : nullptr;
  }

  void configure(const std::string &Name, state &State, steady_time Now) {
    accepted_service_ref Service = Version->Configuration.find(Name);
    if (!Service)
      return;
    // Two proxies may have different views for a while. A proxy that owns none
    // of the servers still runs requests that a peer forwards to it as owner.
    auto Servers = Version->ownServers(Name);
    if (Servers.empty())
      Servers = Version->View.pool(Service->Definition.Pool);
    State.Scheduler.configure(Service->Definition, Servers, Now);
    if constexpr (sharing_scheduler<Policy>) {
      State.Scheduler.setDataCentre(Settings.DataCentre);
      State.Scheduler.setPlacementMeasure(Settings.Placement);
      State.Scheduler.setSamplesServers(Settings.SamplesServers);
      State.Scheduler.setRetryLimits(
          Settings.Retries.limitsFor(Version->EntryCount));
      State.Scheduler.setTrialPartition(
          {Version->EntryIndex, std::max<std::size_t>(1, Version->EntryCount)});
      State.Work.setEntries(Version->EntryCount);
    }
  }

  // Attempts.

  void startNext(std::string_view Name, steady_time Now) {
    auto Found = Services.find(Name);
    if (Found == Services.end())
      return;
    Policy &Scheduler = Found->second.Scheduler;
    Found->second.expireRemoteWork(Now);
    for (const waiting_request &Expired : Scheduler.takeExpired(Now))
      respondWithError(
          Requests.at(Expired.Id), error_kind::DeadlineBeforeRun,
          rejectionDetail(Found->second, "no slot came free in time", Now),
          Now);
    if constexpr (sharing_scheduler<Policy>)
      rejectUnservable(Scheduler, Now);
    if constexpr (ejecting_scheduler<Policy>)
      requestConfirmation(Found->second, Now);
    auto Next = [&] {
      return serversUnconfirmed(Now) ? std::nullopt : Scheduler.next(Now);
    };
    while (auto Assignment = Next()) {
      active_request &Active = Requests.at(Assignment->Request);
      if (Assignment->IdleFor)
        request_log::idleServerTried(Active, *Assignment);
      startAttempt(Active,
                   {Assignment->Server, attempt_route::Slot, "",
                    std::move(Assignment->Instance),
                    Assignment->FailureProbability, Assignment->SlotsUsed,
                    Assignment->Slots, Assignment->Started},
                   Now);
    }
    if constexpr (ejecting_scheduler<Policy>)
      if (auto Trial = Scheduler.nextTrial();
          Trial && Scheduler.waiting() > 0 && *Trial > Now)
        scheduleWake(*Trial);
    if constexpr (sharing_scheduler<Policy>) {
      if (Scheduler.waiting() > 0)
        if (auto Opening = Scheduler.nextOpening(Now))
          scheduleWake(*Opening);
      reportWork(Found->second.Work, Now);
    }
  }

  /// Rejects the queued requests of a pool without servers.
  void rejectUnservable(Policy &Scheduler, steady_time Now) {
    if (Scheduler.hasServers())
      return;
    for (const waiting_request &Request : Scheduler.takeAll(Now))
      respondWithError(Requests.at(Request.Id), error_kind::NoBackendServer,
                       "the pool has no backend servers", Now);
  }

  /// Sends the pending work reports to the other proxies if one is due, and
  /// sets a timer for the next ones. \p Changed is the service that may have
  /// more to report.
  void reportWork(const work_report_builder &Changed, steady_time Now) {
    if (Changed.empty())
      return;
    considerReport(Changed);
    if (Now >= *NextWorkReport)
      sendReports(Now);
    if (NextWorkReport &&
        (ReportTimer <= Now || *NextWorkReport < ReportTimer)) {
      ReportTimer = *NextWorkReport;
      Timers.add(ReportTimer, {0, 0, timer_kind::WorkReport});
    }
  }

  void considerReport(const work_report_builder &Work) {
    if (!Work.empty())
      NextWorkReport =
          std::min(NextWorkReport.value_or(Work.nextDue()), Work.nextDue());
  }

  void sendReports(steady_time Now) {
    work_reports Reports;
    NextWorkReport.reset();
    for (auto &[Name, State] : Services) {
      if (State.Work.empty())
        continue;
      work_report Report = State.Work.take(Name, Now);
      if (!Report.Servers.empty())
        Reports.Services.push_back(std::move(Report));
      considerReport(State.Work);
    }
    if (!Reports.Services.empty())
      Control.notify(std::move(Reports));
  }

  void scheduleWake(steady_time At) {
    if (ScheduledWake && *ScheduledWake <= At)
      return;
    ScheduledWake = At;
  }

  void startNextAfter(const running_attempt &Attempt, steady_time Now) {
    if (Attempt.Target.Route != attempt_route::Slot)
      return;
    auto Found = ServiceOfServer.find(Attempt.Target.Server);
    if (Found != ServiceOfServer.end())
      startNext(std::string(Found->second), Now);
  }

  /// Asks another proxy to confirm the failure of a backend server that fails
  /// here, using the next queued request that is suitable for a trial.
  void requestConfirmation(state &State, steady_time Now) {
    auto Server = State.Opinions.nextServerToTry(Now);
    if (!Server)
      return;
    const proxy_member *Observer =
        chooseObserver(*Version, *Server, NextAttempt);
    if (!Observer)
      return State.Opinions.onNoPeerAvailable(*Server, Now);
    auto Request = State.Scheduler.takeForTrial(Now);
    if (!Request)
      return;
    State.Opinions.onTryStarted(*Server, Now);
    State.Scheduler.postponeTrial(*Server, Now + ConfirmationTrialDelay);
    startAttempt(Requests.at(*Request),
                 {Observer->Address, attempt_route::Peer, *Server, ""}, Now);
  }

  static attempt_target toPeer(const endpoint_text &Address) {
    return {Address, attempt_route::Peer, "", ""};
  }

  void startAttempt(active_request &Active, const attempt_target &Target,
                    steady_time Now) {
    const caller_request &Request = Active.Request;
    attempt_id Id = NextAttempt++;
    Active.Attempt = running_attempt{Id, Target, Now,          std::nullopt,
                                     0,  false,  std::nullopt, false};
    ++Active.Attempts;
    ByAttempt[Id] = Request.Id;
    auto Left =
        std::chrono::duration_cast<milliseconds>(Request.Deadline - Now);
    // A confirmation gets no more than twice the time within which nearly all
    // responses of the pool arrive, and at most half of the remaining time.
    if (!Target.ServerToConfirm.empty())
      Left = std::min(
          Left / 2,
          2 * stateOf(Active).answerTimes(*Request.Kind).slowThreshold());
    attempt_context Context{sender(), Request, Id, Target.Instance, Left};
    std::vector<header_field> Headers =
        Target.Route == attempt_route::Peer
            ? peerFields(sender(), Active, Left * 9 / 10)
            : MessageDialect.serverFields(Context);
    if (Target.Route != attempt_route::Peer) {
      ServiceOfServer[Target.Server] = Request.Service->Definition.Name;
      Deaths.onStart(Target.Server, Id);
    }
    if (Target.Route == attempt_route::Slot) {
      Timers.add(Now + slowThreshold(Active),
                 {Request.Id, Id, timer_kind::Slow});
      stateOf(Active).recordUse(Target.Server, Now);
      if constexpr (sharing_scheduler<Policy>)
        Timers.add(Now + FastFailureWindow,
                   {Request.Id, Id, timer_kind::AssumeAccepted});
      // A retryable attempt is given up early enough for another one, but not
      // before nearly all responses would have arrived: a request that takes
      // long takes as long on another server.
      if (Active.isIdempotent() && Active.Attempts < Request.Kind->MaxAttempts)
        Timers.add(
            Now +
                std::max(
                    Left / 2,
                    stateOf(Active).answerTimes(*Request.Kind).slowThreshold()),
            {Request.Id, Id, timer_kind::HeadTimeout});
    }
    // Nothing tells a late answer on a used connection from the own one.
    connection_choice Connection =
        MessageDialect.expectedIdentifier(Context).empty()
            ? connection_choice::Fresh
            : stateOf(Active).Connections.choose(Target.Server,
                                                 Active.isIdempotent(), Now);
    Transport.start({Id, Target.Server, Request.Method, Request.Target, Headers,
                     Request.Body, Connection, Left, Dialect::AcceptsUnframed});
  }

  attempt_sender sender() const {
    return {Version->SelfId, Version->SelfIncarnation, Settings.Seed,
            Settings.FleetSecret};
  }

  /// Checks a peer's response to a request for confirmation. Returns the error
  /// if the backend server failed there as well; the response is then rejected
  /// and the request retried here.
  static std::optional<error_kind>
  checkConfirmation(running_attempt &Attempt,
                    const backend_response_head &Head) {
    std::string_view Error = findHeader(Head.Headers, "Endiverail-Error");
    if (Attempt.Target.ServerToConfirm.empty() ||
        (Error.empty() && Head.Status < 500))
      return std::nullopt;
    Attempt.PeerError = errorFromName(Error).value_or(error_kind::BackendError);
    return Attempt.PeerError;
  }

  /// Records whether the peer has confirmed the failure of a backend server.
  void recordConfirmation(active_request &Active,
                          const running_attempt &Attempt,
                          const attempt_end &End) {
    if (Attempt.Target.ServerToConfirm.empty())
      return;
    failure_confirmation &Opinions = stateOf(Active).Opinions;
    if (!End.Failure)
      Opinions.addResult(Attempt.Target.ServerToConfirm, true);
    // Errors of the peer itself say nothing about the backend server.
    else if (Attempt.PeerError && isServerFailure(*Attempt.PeerError))
      Opinions.addResult(Attempt.Target.ServerToConfirm, false);
  }

  /// Evaluates the head of a backend server's response. Returns an error if the
  /// response is rejected.
  std::optional<error_kind> checkResponse(active_request &Active,
                                          const backend_response_head &Head,
                                          steady_time Now) {
    const running_attempt &Attempt = *Active.Attempt;
    state &State = stateOf(Active);
    attempt_failure Failure{error_kind::BackendError, false, false};
    bool MayRetry =
        Attempt.Target.Route == attempt_route::Slot &&
        nextStep(Failure, history(Active, Now)) == attempt_step::Retry;
    response_classification Classification = MessageDialect.classify(
        Head,
        MessageDialect.expectedIdentifier(
            {sender(), Active.Request, Attempt.Id, "", {}}),
        MayRetry);
    if (Classification.Leaving)
      recordLeaving(Active, Head, Now);
    applyPause(Active, Classification, Now);
    if (Classification.Error) {
      Active.Attempt->Rejected =
          rejected_response{Head.Status, std::move(Classification.Identifier)};
      return Classification.Error;
    }
    if (Classification.ServerFailed) {
      State.recordSignal(
          Attempt.Target.Server,
          signalOf(error_kind::BackendError, Active, Attempt, Now), Now);
      return std::nullopt;
    }
    State.answerTimes(*Active.Request.Kind).add(workTime(Attempt, Now), Now);
    if constexpr (sharing_scheduler<Policy>)
      State.Costs.recordAnswer(traitsOf(Active.Request),
                               workTime(Attempt, Now));
    recordAccepted(Active, Now);
    if (Attempt.SlowReports == 0)
      State.recordSignal(Attempt.Target.Server, attempt_signal::Good, Now);
    return std::nullopt;
  }

  /// Records that the backend server of an attempt has announced that it is
  /// leaving. Where all proxies share the pool, each one learns it from its own
  /// answers.
  void recordLeaving(const active_request &Active,
                     const backend_response_head &Head, steady_time Now) {
    const attempt_target &Target = Active.Attempt->Target;
    const std::string &Name = Active.Request.Service->Definition.Name;
    Policy &Scheduler = stateOf(Active).Scheduler;
    if constexpr (sharing_scheduler<Policy>) {
      if (!Scheduler.recordLeavingAnnouncement(Target.Server, Target.Instance,
                                               Target.Started))
        return;
      Metrics.onServerLeaving(Name);
      request_log::serverLeaving(Active, Head.Status);
    } else {
      Scheduler.markLeaving(Target.Server, Now);
      Control.notify(server_leaving{Name, Target.Server});
    }
  }

  /// Records, once per attempt, that the backend server has accepted it.
  void recordAccepted(active_request &Active, steady_time Now) {
    if (!std::exchange(Active.Attempt->Accepted, true))
      stateOf(Active).recordSignal(Active.Attempt->Target.Server,
                                   attempt_signal::Accepted, Now);
  }

  attempt_history history(const active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    state &State = stateOf(Active);
    return {Request.Kind->Idempotent,
            Active.Attempts,
            Active.BrokenConnections,
            Active.MayHaveRun,
            std::chrono::duration_cast<milliseconds>(Request.Deadline - Now),
            State.answerTimes(*Request.Kind).usual(),
            State.Scheduler.retries().available(
                makeWaitingRequest(Active, State).claimAt(Now)),
            Request.Kind->MaxAttempts};
  }

  /// Releases the resources of an attempt and records its result for the
  /// scheduler, the retry budget and the quarantine.
  void recordAttemptResult(active_request &Active,
                           const running_attempt &Attempt,
                           const attempt_end &End, steady_time Now) {
    if (Attempt.Target.Route == attempt_route::Peer)
      return recordConfirmation(Active, Attempt, End);
    bool Cut = End.Failure && End.Failure->Kind == error_kind::BackendCut;
    if (Cut && !Attempt.Head)
      Deaths.onDisconnect(Attempt.Target.Server, Attempt.Id, Active.Fingerprint,
                          Now);
    else
      Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    if (Attempt.Target.Route == attempt_route::Trial)
      return;
    Policy &Scheduler = stateOf(Active).Scheduler;
    releaseSlot(Active, Attempt, Now);
    if (End.Failure)
      recordUnansweredWork(Active, Attempt, Now);
    if (!End.Failure) {
      Scheduler.retries().onSuccess(Active.Request.Kind->Rank);
      Quarantine.clear(Active.Fingerprint);
      reportEvidence(Active, Now);
      return;
    }
    stateOf(Active).recordSignal(
        Attempt.Target.Server,
        signalOf(End.Failure->Kind, Active, Attempt, Now), Now);
    reportEvidence(Active, Now);
  }

  /// Whether the server had probably closed the pooled connection of an attempt
  /// before the request arrived, which tells nothing about the server's health.
  static bool isStaleConnection(const running_attempt &Attempt,
                                const attempt_end &End, steady_time Now) {
    return End.Failure && End.Connection.reused() && !Attempt.Head &&
           End.Failure->Kind == error_kind::BackendCut &&
           Attempt.Target.Route == attempt_route::Slot &&
           Now < Attempt.Started + FastFailureWindow;
  }

  void recordStaleConnection(const active_request &Active,
                             const running_attempt &Attempt, steady_time Now) {
    stateOf(Active).Connections.onStale(Attempt.Target.Server, Now);
    Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    releaseSlot(Active, Attempt, Now);
  }

  attempt_signal signalOf(error_kind Failure, const active_request &Active,
                          const running_attempt &Attempt, steady_time Now) {
    if (Attempt.AskedForPause)
      return attempt_signal::Shed;
    return stateOf(Active).signalOf(Failure, *Active.Request.Kind,
                                    Attempt.Target, Now - Attempt.Started);
  }

  void releaseSlot(const active_request &Active, const running_attempt &Attempt,
                   steady_time Now) {
    state &State = stateOf(Active);
    State.Scheduler.release(Attempt.Target.Server, Active.Request.Kind->Rank,
                            Now);
    State.recordWorkEnd(Attempt.Target.Server, Active.Request.Id);
    State.recordUse(Attempt.Target.Server, Now);
  }

  void reportEvidence([[maybe_unused]] const active_request &Active,
                      [[maybe_unused]] steady_time Now) {
    if constexpr (ejecting_scheduler<Policy>)
      reportEjectionChanges(Active.Request.Service->Definition.Name,
                            stateOf(Active), Now);
  }

  void reportEjectionChanges(const std::string &Name, state &State,
                             steady_time Now) {
    Policy &Scheduler = State.Scheduler;
    std::vector<endpoint_text> Candidates = Scheduler.ejectionCandidates();
    State.Opinions.retainOnly(Candidates, Now);
    for (endpoint_text &Server : Candidates)
      switch (State.Opinions.verdict(
          Server, Scheduler.failureShare(Server, Now), Now)) {
      case opinion_verdict::Open:
        Scheduler.postponeTrial(Server, Now + ConfirmationTrialDelay);
        break;
      case opinion_verdict::Confirmed:
        Control.notify(ejection_request{Name, std::move(Server), true});
        break;
      case opinion_verdict::Contradicted:
        Control.notify(path_fault_notice{Name, std::move(Server)});
      }
    for (endpoint_text &Server : Scheduler.recovered())
      Control.notify(ejection_request{Name, std::move(Server), false});
  }

  /// Cancels the request's attempt and releases its slot.
  running_attempt cancelAttempt(active_request &Active, steady_time Now) {
    running_attempt Attempt = std::move(*Active.Attempt);
    Active.Attempt.reset();
    ByAttempt.erase(Attempt.Id);
    Transport.cancel(Attempt.Id);
    if (Attempt.Target.Route != attempt_route::Peer)
      Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    if (Attempt.Target.Route == attempt_route::Slot) {
      releaseSlot(Active, Attempt, Now);
      recordUnansweredWork(Active, Attempt, Now);
    }
    return Attempt;
  }

  // Responses.

  void completeRequest(active_request &Active, const running_attempt &Attempt,
                       steady_time Now) {
    response_head Head =
        MessageDialect.callerHead(*Attempt.Head, Attempt.goesToPeer());
    if (sharing_scheduler<Policy>)
      request_log::responsePassedOn(Active, Attempt, Now);
    std::string Error(findHeader(Head.Headers, "Endiverail-Error"));
    if (!Active.HeadSent) {
      std::string Body = std::exchange(Active.Buffered, {});
      if (Active.HoldsKey)
        storeOutcome(Active, Head, Body, Now);
      respond(Active, std::move(Head), std::move(Body), Error, Now);
      return;
    }
    if (Active.HoldsKey)
      storeResponseTooLarge(Active, Now);
    Responses.finish(Active, Head.Outcome, Error, Now);
    removeRequest(Active);
  }

  void handleFailedAttempt(active_request &Active,
                           const running_attempt &Attempt,
                           attempt_failure Failure, steady_time Now) {
    // Only the holder of a key may run its request or report its outcome.
    if (Attempt.goesToPeer() && isKeyHeldElsewhere(Active) &&
        !Active.HeadSent) {
      if (!Failure.ProvenNotRun || !scheduleHolderRetry(Active, Now))
        respondWithError(Active, error_kind::KeyExpired,
                         "the holder of the key does not respond", Now);
      return;
    }
    // If the request did not reach the peer, nobody has run it and the error is
    // kept. Otherwise the peer may have run it.
    if (Attempt.goesToPeer() && !Failure.ProvenNotRun)
      Failure.Kind = error_kind::PeerLost;
    if (Failure.Kind == error_kind::BackendShed)
      Failure.ProvenNotRun = true;
    Failure.ResponseStarted = Active.HeadSent;
    bool Broken =
        Failure.Kind == error_kind::BackendCut && !Attempt.StaleConnection;
    Active.BrokenConnections += Broken ? 1 : 0;
    attempt_history History = history(Active, Now);
    Active.RetryObstacle = retryObstacle(Failure, History);
    attempt_step Step = nextStep(Failure, History);
    if (Active.CallerGone || (Attempt.Target.Route == attempt_route::Trial &&
                              Step == attempt_step::Retry))
      Step = attempt_step::ReturnError;
    if (Step == attempt_step::CloseConnection) {
      abortResponse(Active, Now);
      return;
    }
    if (Step == attempt_step::ReturnError) {
      Active.MayHaveRun |= !Failure.ProvenNotRun;
      respondWithError(Active, finalError(Failure, History), "", Now);
      return;
    }
    retry(Active, Attempt, Failure, Now);
  }

  void retry(active_request &Active, const running_attempt &Attempt,
             const attempt_failure &Failure, steady_time Now) {
    std::string Name = Active.Request.Service->Definition.Name;
    Active.MayHaveRun |= !Failure.ProvenNotRun;
    if (!Attempt.StaleConnection)
      Active.FailedServers.push_back(Attempt.Target.Server);
    Active.Buffered.clear();
    Active.BufferedHold.reset();
    state &State = stateOf(Active);
    if (usesRetryBudget(Failure))
      State.Scheduler.retries().take(
          makeWaitingRequest(Active, State).claimAt(Now));
    Metrics.onRetry(Name);
    if (Attempt.goesToPeer()) {
      runStep(Active, Now, [&] { return forwardOrQueue(Active, Now); });
      return;
    }
    request_id Id = Active.Request.Id;
    State.Scheduler.resubmit(makeWaitingRequest(Active, State), Now);
    startNext(Name, Now);
    scheduleQueueTimeout(Id, Now);
  }

  /// Queues the request again when mayStart() has withdrawn its attempt before
  /// anything was sent. The attempt does not count and uses no retry.
  void rescheduleWithdrawn(active_request &Active,
                           const running_attempt &Attempt, steady_time Now) {
    state &State = stateOf(Active);
    Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    releaseSlot(Active, Attempt, Now);
    bool Leaving = !isUsable(Active, Attempt.Target.Server);
    if (Leaving)
      State.Scheduler.markLeaving(Attempt.Target.Server, Now);
    --Active.Attempts;
    if (Active.CallerGone) {
      if (Active.HoldsKey)
        Keys.forget(keyOf(Active.Request));
      Quotas.takeBack(Active, Now);
      removeRequest(Active);
      return;
    }
    if (Leaving)
      Active.FailedServers.push_back(Attempt.Target.Server);
    std::string Name = Active.Request.Service->Definition.Name;
    request_id Id = Active.Request.Id;
    State.Scheduler.resubmit(makeWaitingRequest(Active, State), Now);
    startNext(Name, Now);
    scheduleQueueTimeout(Id, Now);
  }

  /// Responds to a request at shutdown. One that was already sent may have run.
  void terminateRequest(active_request &Active, steady_time Now) {
    if (!Active.Attempt) {
      stateOf(Active).Scheduler.cancel(Active.Request.Id);
      return respondWithError(
          Active, error_kind::Draining,
          "the process shut down before the request could start", Now);
    }
    cancelAttempt(Active, Now);
    if (Active.HeadSent)
      return abortResponse(Active, Now);
    Active.MayHaveRun = true;
    respondWithError(Active, error_kind::BackendTimeout,
                     "the process shut down before the response arrived", Now);
  }

  void abortResponse(active_request &Active, steady_time Now) {
    if (Active.HoldsKey)
      storeOutcome(Active, errorResponseHead(error_kind::BackendCut),
                   "the answer was cut\n", Now);
    Responses.abort(Active, Now);
    removeRequest(Active);
  }

  void respondWithError(active_request &Active, error_kind Kind,
                        std::string_view Detail, steady_time Now) {
    // An earlier attempt may have run the request even if the retry was never
    // started, so the outcome must not be "not run".
    if (Active.MayHaveRun && errorAnswer(Kind).Outcome == outcome::NotRun)
      Kind = error_kind::BackendCut;
    if (errorAnswer(Kind).Outcome == outcome::NotRun)
      Quotas.takeBack(Active, Now);
    response_head Head = MessageDialect.errorResponseHead(
        Kind, reserveRetryDelay(Active, Kind, Now));
    if (isKeyHeldElsewhere(Active))
      Head.Outcome = outcome::Unknown;
    if (sharing_scheduler<Policy>)
      request_log::errorAnswered(Active, Head, Kind, Detail, Now);
    std::string Body(errorAnswer(Kind).Name);
    Body.append(": ").append(Detail).push_back('\n');
    if (Active.HoldsKey) {
      if (errorAnswer(Kind).Outcome == outcome::NotRun)
        Keys.forget(keyOf(Active.Request));
      else
        storeOutcome(Active, errorResponseHead(Kind), Body, Now);
    }
    respond(Active, std::move(Head), std::move(Body), errorAnswer(Kind).Name,
            Now);
  }

  /// Value for Retry-After of a rejected request; 0 if not known.
  milliseconds reserveRetryDelay([[maybe_unused]] const active_request &Active,
                                 [[maybe_unused]] error_kind Kind,
                                 [[maybe_unused]] steady_time Now) {
    if (Active.RetryAfter)
      return *Active.RetryAfter;
    if constexpr (sharing_scheduler<Policy>)
      if (errorAnswer(Kind).RetryAfterSeconds > 0)
        return stateOf(Active).Scheduler.reserveRetryDelay(Now);
    return milliseconds(0);
  }

  /// Whether the request has a key that this thread does not hold. An earlier
  /// transmission may have run elsewhere, so this proxy can't report "not run".
  static bool isKeyHeldElsewhere(const active_request &Active) {
    return !Active.Request.Kind->Idempotent && !Active.Request.Key.empty() &&
           !Active.HoldsKey;
  }

  void storeOutcome(const active_request &Active, response_head Head,
                    std::string Body, steady_time Now) {
    Keys.finish(keyOf(Active.Request), {std::move(Head), std::move(Body)}, Now);
  }

  void storeResponseTooLarge(const active_request &Active, steady_time Now) {
    storeOutcome(Active, errorResponseHead(error_kind::KeyExpired),
                 "the request ran; its answer was too large to keep\n", Now);
  }

  void respond(active_request &Active, response_head Head, std::string Body,
               std::string_view Error, steady_time Now) {
    Responses.writeWhole(Active, std::move(Head), std::move(Body), Error, Now);
    removeRequest(Active);
  }

  void removeRequest(active_request &Active) {
    auto ResponseHandle =
        ByConnection.find(Active.Request.ResponseHandle.Connection);
    if (ResponseHandle != ByConnection.end() &&
        ResponseHandle->second == Active.Request.Id)
      ByConnection.erase(ResponseHandle);
    Requests.erase(Active.Request.Id);
  }

  // Timers.

  void runTimers(steady_time Now) {
    if (auto Due = Timers.nextDue(); Due && *Due <= Now)
      Lag.recordTimer(*Due, Now);
    while (auto Due = Timers.takeDue(Now)) {
      auto Found = Requests.find(Due->Request);
      if (Due->Kind == timer_kind::WorkReport)
        reportAllWork(Now);
      else if (Found != Requests.end())
        onTimer(Found->second, *Due, Now);
    }
  }

  void reportAllWork(steady_time Now) {
    for (const auto &[Name, State] : Services)
      reportWork(State.Work, Now);
  }

  void startNextOfAll(steady_time Now) {
    ScheduledWake.reset();
    for (auto &[Name, State] : Services)
      startNext(Name, Now);
  }

  void onTimer(active_request &Active, const request_timer &Due,
               steady_time Now) {
    bool Running = Active.Attempt.has_value();
    if (Due.Kind == timer_kind::HolderRetry)
      return runStep(Active, Now, [&] { return admit(Active, Now); });
    if (Due.Kind == timer_kind::Deadline) {
      if (!Running)
        startNext(std::string(Active.Request.Service->Definition.Name), Now);
      return;
    }
    if (!Running || Active.Attempt->Id != Due.Attempt || Active.Attempt->Head)
      return;
    if (Due.Kind == timer_kind::AssumeAccepted)
      assumeAccepted(Active, Now);
    else if (Due.Kind == timer_kind::Slow)
      reportSlow(Active, Now);
    else
      timeOutAttempt(Active, Now);
  }

  /// Records that an attempt which has not failed has reached its server, and
  /// that it was accepted if it got a slot there.
  void assumeAccepted(active_request &Active, steady_time Now) {
    const running_attempt &Attempt = *Active.Attempt;
    if (!Attempt.Connected) {
      Timers.add(Now + FastFailureWindow,
                 {Active.Request.Id, Attempt.Id, timer_kind::AssumeAccepted});
      return;
    }
    stateOf(Active).recordReached(Attempt.Target.Server, Now);
    if (state::mayAssumeAccepted(Attempt.Target))
      recordAccepted(Active, Now);
    // The scheduler may assign more requests to the server now.
    startNext(std::string(Active.Request.Service->Definition.Name), Now);
  }

  /// Reports an attempt without a response as slow, and again at each further
  /// interval. If all slots of a backend server hang, there is no other signal.
  void reportSlow(active_request &Active, steady_time Now) {
    running_attempt &Attempt = *Active.Attempt;
    state &State = stateOf(Active);
    State.recordSignal(Attempt.Target.Server, attempt_signal::Slow, Now);
    reportEvidence(Active, Now);
    ++Attempt.SlowReports;
    Timers.add(Now + slowThreshold(Active),
               {Active.Request.Id, Attempt.Id, timer_kind::Slow});
    // Retry on another server, which may still respond in time.
    if constexpr (sharing_scheduler<Policy>)
      if (Active.isIdempotent() &&
          State.Scheduler.isSlow(Attempt.Target.Server, Now))
        timeOutAttempt(Active, Now);
  }

  /// Time after which an attempt counts as slow. It is shorter with a shared
  /// pool, where no other proxy is asked to try a hanging server.
  milliseconds slowThreshold(const active_request &Active) {
    constexpr double SlowFactor = 2.5;
    answer_times &Times = stateOf(Active).answerTimes(*Active.Request.Kind);
    if (!sharing_scheduler<Policy>)
      return Times.slowThreshold();
    auto Slow = std::chrono::duration_cast<milliseconds>(
        Times.usual() * SlowFactor * Active.Attempt->Target.queueingFactor());
    return std::min(Times.slowThreshold(), Slow);
  }

  void timeOutAttempt(active_request &Active, steady_time Now) {
    state &State = stateOf(Active);
    attempt_failure Failure{error_kind::BackendTimeout, false, false};
    if (nextStep(Failure, history(Active, Now)) != attempt_step::Retry)
      return;
    running_attempt Attempt = cancelAttempt(Active, Now);
    State.recordSignal(Attempt.Target.Server, attempt_signal::Failed, Now);
    reportEvidence(Active, Now);
    retry(Active, Attempt, Failure, Now);
    startNextAfter(Attempt, Now);
  }

  void onDeath(const death_detector::death &Death, steady_time Now) {
    auto Service = ServiceOfServer.find(Death.Server);
    for (request_fingerprint Fingerprint : Death.Running)
      if (Quarantine.recordDeath(Fingerprint, Death.Server, Now) &&
          Service != ServiceOfServer.end())
        Control.notify(
            server_death{Service->second, Fingerprint, Death.Server});
  }

  /// Reports expected and true costs of the busiest routes of each service.
  void reportCosts(steady_time Now) {
    if (Now < NextCostReport)
      return;
    NextCostReport = Now + CostReportPeriod;
    for (auto &[Name, State] : Services) {
      auto Routes = State.Costs.takeAccuracy(MaxReportedRoutes);
      for (const cost_model::accuracy &Route : Routes)
        request_log::costEstimated(Name, Route);
      if (!Routes.empty())
        Metrics.setCosts(Name, std::move(Routes));
    }
  }

  void reportStatus(steady_time Now) {
    NextReport = Now + ReportPeriod;
    reportCosts(Now);
    Quarantine.expire(Now);
    Keys.expire(Now);
    Quotas.expire(Now);
    for (const auto &[Name, State] : Services) {
      Control.notify(service_status_report{Name, State.Scheduler.waiting(),
                                           State.Scheduler.status(Now)});
      reportUse(Name, State, Now);
    }
  }

  void reportUse([[maybe_unused]] const std::string &Name,
                 [[maybe_unused]] const state &State,
                 [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      pool_use Use = State.Scheduler.use(Now);
      for (idle_reason Reason : IdleReasons)
        Metrics.setIdleServers(Name, idleReasonName(Reason),
                               static_cast<std::size_t>(std::ranges::count(
                                   Use.Idle, Reason, &idle_server::Reason)));
      auto Idle = std::ranges::count_if(Use.Idle, [](const idle_server &Each) {
        return Each.Reason != idle_reason::Paused;
      });
      if (static_cast<double>(Idle) > Use.IdleLimit ||
          (Use.ManyFail && Idle > 0))
        request_log::serversIdle(Name, Use);
    }
  }

  // Lookups.

  active_request *findByAttempt(attempt_id Id) {
    auto Found = ByAttempt.find(Id);
    return Found == ByAttempt.end() ? nullptr : &Requests.at(Found->second);
  }

  active_request *findByResponseHandle(const response_handle &ResponseHandle) {
    auto Found = ByConnection.find(ResponseHandle.Connection);
    if (Found == ByConnection.end())
      return nullptr;
    active_request &Active = Requests.at(Found->second);
    return Active.Request.ResponseHandle == ResponseHandle ? &Active : nullptr;
  }

  poller Poller;
  mailbox<traffic_message> Inbox;
  bool InboxReady = false;
  /// Taken from the mailbox and not handled yet.
  std::deque<waiting_message> Messages;
  /// The same, of other proxies' reports, which no caller waits for.
  std::deque<waiting_message> PeerReports;
  std::uint64_t DroppedReports = 0;
  /// Services about which peers have reported.
  std::set<std::string, std::less<>> ReportedServices;
  traffic_settings Settings;
  Dialect MessageDialect;
  response_writer<Sink, Dialect> Responses;
  Link &Control;
  process_metrics &Metrics;
  Time Clock;
  TransportOf<traffic_thread> Transport;

  fleet_version_ref Version;
  std::map<std::string, state, std::less<>> Services;
  std::unordered_map<request_id, active_request> Requests;
  std::unordered_map<attempt_id, request_id> ByAttempt;
  /// By connection, each of which has at most one request in progress.
  std::unordered_map<std::uint64_t, request_id> ByConnection;
  std::map<endpoint_text, std::string, std::less<>> ServiceOfServer;
  request_timers Timers;
  /// When the first of the pending work reports is due.
  std::optional<steady_time> NextWorkReport;
  /// The timer for it.
  steady_time ReportTimer;
  key_registry Keys;
  quota_admission Quotas;
  quarantine Quarantine;
  death_detector Deaths;
  attempt_id NextAttempt = 1;
  /// When queued requests may get a server without any other event.
  std::optional<steady_time> ScheduledWake;
  steady_time NextCostReport;
  steady_time NextReport;
  thread_lag Lag{"traffic"};
  bool Finishing = false;
  bool Immediate = false;
};

} // namespace endiverail
