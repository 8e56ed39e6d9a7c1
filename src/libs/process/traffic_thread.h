#pragma once

#include "base/hash.h"
#include "base/time_source.h"
#include "connection/backend_attempt.h"
#include "connection/response_classification.h"
#include "connection/response_message.h"
#include "process/active_request.h"
#include "process/answer_writer.h"
#include "process/attempt_fields.h"
#include "process/death_watch.h"
#include "process/event_loop.h"
#include "process/fleet_key.h"
#include "process/key_registry.h"
#include "process/mailbox.h"
#include "process/message_dialect.h"
#include "process/metrics.h"
#include "process/published.h"
#include "process/request_log.h"
#include "process/request_timers.h"
#include "process/service_state.h"
#include "process/traffic_message.h"
#include "version/peer_choice.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
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
  /// Where this process runs.
  std::string DataCentre{};
  /// What the fleet may retry, where the operator bounds that.
  retry_allowance Retries{};
  /// Answers up to this size are passed on whole, so that one that is cut can
  /// be tried again.
  std::size_t MostBufferedBytes = std::size_t{64} * 1024;
  /// Where the control thread hands versions over, for a last look at a backend
  /// server before a request is sent to it; none where versions come by message
  /// only. Outlives the thread.
  const published<fleet_version> *Versions = nullptr;
  /// Until when requests may be sent to backend servers by the version that was
  /// handed over; none where versions don't age. Outlives the thread.
  const std::atomic<steady_time> *ServersUsableUntil = nullptr;
};

/// Runs the requests of the services that belong to it. One thread owns it;
/// others reach it through its mailbox. What carries attempts, what takes
/// answers, which request runs next and where, and how messages are worded
/// vary by template.
template <template <typename> typename TransportOf, response_sink Sink,
          control_link Link, time_source Time = machine_time,
          request_scheduler Policy = service_scheduler,
          message_dialect Dialect = own_dialect>
class traffic_thread {
  using state = service_state<Policy>;

public:
  traffic_thread(poller Poller, event_descriptor Event,
                 traffic_settings Settings, Sink &To, Link &Control,
                 process_metrics &Metrics, Time Clock = {}, Dialect Words = {})
      : Poller(std::move(Poller)), Inbox(std::move(Event)),
        Settings(std::move(Settings)), Words(std::move(Words)),
        Answers(To, Metrics, this->Words), Control(Control), Metrics(Metrics),
        Clock(std::move(Clock)), Transport(this->Poller, *this),
        Keys(this->Settings.Keys) {
    this->Poller.watch(Inbox.descriptor(), true, false);
  }

  /// Hands over a message. Safe on any thread.
  void post(traffic_message Message) { Inbox.post(std::move(Message)); }

  /// What carries the attempts of this thread.
  TransportOf<traffic_thread> &transport() { return Transport; }

  /// Runs on the calling thread until a finish_traffic message was taken and
  /// all requests are answered.
  void run() { runEventLoop(Poller, *this); }

  void onReady(const ready_descriptor &Ready, steady_time Now) {
    if (Ready.Descriptor == Inbox.descriptor())
      readInbox(Now);
    else
      Transport.onReady(Ready);
  }

  /// Takes all messages that wait.
  void readInbox(steady_time Now) {
    for (traffic_message &Message : Inbox.takeAll())
      std::visit([&](auto &Part) { take(Part, Now); }, Message);
  }

  void onWake(steady_time Now) {
    Transport.onWake(Now);
    runTimers(Now);
    for (const death_watch::death &Death : Deaths.takeDeaths(Now))
      onDeath(Death, Now);
    if (Now >= NextReport)
      report(Now);
  }

  std::optional<steady_time> nextWake() const {
    std::optional<steady_time> Next = Transport.nextWake();
    auto Consider = [&](std::optional<steady_time> At) {
      if (At && (!Next || *At < *Next))
        Next = At;
    };
    Consider(Timers.nextDue());
    Consider(Deaths.nextWake());
    if (!Requests.empty())
      Consider(NextReport);
    return Next;
  }

  bool finished() const { return Finishing && (AtOnce || Requests.empty()); }

  /// What the heir of this process has to know of its keys. Called once run()
  /// has returned.
  std::vector<remembered_key> rememberedKeys(steady_time Now) const {
    return Keys.remembered(Now);
  }

  // The transport reports here.

  /// The version that holds by now may not have come to this thread yet.
  bool mayStart(attempt_id Id) {
    const active_request *Active = findByAttempt(Id);
    if (!Settings.Versions || !Active ||
        Active->Attempt->Target.Route != attempt_route::Slot)
      return true;
    // In this order: a version is handed over before its use is moved on.
    return !serversUnconfirmed(Clock.now()) &&
           isUsable(*Active, Active->Attempt->Target.Server);
  }

  std::optional<error_kind> onHead(attempt_id Id, backend_response_head Head) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return error_kind::Internal;
    running_attempt &Attempt = *Active->Attempt;
    auto Refused = Attempt.Target.Route == attempt_route::Peer
                       ? judgeOpinion(Attempt, Head)
                       : judge(*Active, Head, Clock.now());
    if (Refused)
      return Refused;
    Attempt.Head = std::move(Head);
    return std::nullopt;
  }

  bool onBodyData(attempt_id Id, std::string_view Piece) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return true;
    if (Active->Unwritten + Active->Buffered.size() > mostUnwritten()) {
      Active->Paused = true;
      return false;
    }
    Active->Buffered.append(Piece);
    if (Active->HeadPosted ||
        Active->Buffered.size() > Settings.MostBufferedBytes)
      Answers.passOn(*Active);
    return true;
  }

  void onEnd(attempt_id Id, const attempt_end &End) {
    active_request *Active = findByAttempt(Id);
    if (!Active)
      return;
    steady_time Now = Clock.now();
    running_attempt Attempt = std::move(*Active->Attempt);
    Active->Attempt.reset();
    ByAttempt.erase(Id);
    if (End.Withdrawn) {
      placeElsewhere(*Active, Attempt, Now);
      startWaiting(Attempt, Now);
      return;
    }
    settle(*Active, Attempt, End, Now);
    if (End.Failure && sharing_scheduler<Policy>)
      request_log::attemptFailed(*Active, Attempt, End, Now);
    if (End.Failure)
      fail(*Active, Attempt, *End.Failure, Now);
    else
      complete(*Active, Attempt, Now);
    startWaiting(Attempt, Now);
  }

private:
  static constexpr int FirstServerError = 500;

  /// Whether nothing has confirmed for too long what is known of the backend
  /// servers: one of them may have left since.
  bool serversUnconfirmed(steady_time Now) const {
    return Settings.ServersUsableUntil &&
           Now >= Settings.ServersUsableUntil->load();
  }

  /// Whether a server takes requests by the latest version.
  bool isUsable(const active_request &Active, std::string_view Server) const {
    fleet_version_ref Latest = Settings.Versions->load();
    auto Pool = Latest->View.pool(Active.Request.Service->Definition.Pool);
    return std::ranges::any_of(Pool, [&](const backend_server &Each) {
      return Each.Address == Server && Each.State != server_state::Leaving;
    });
  }

  std::size_t mostUnwritten() const {
    return MostUnwritten + Settings.MostBufferedBytes;
  }

  /// Bytes of one answer that may wait for its caller, beyond what is held
  /// back until the answer is whole.
  static constexpr std::size_t MostUnwritten = std::size_t{448} * 1024;
  static constexpr milliseconds ReportPeriod{1'000};
  /// A version that takes longer to this thread is written to the log.
  static constexpr milliseconds VersionDelay{200};

  /// How often, and how often at most, the holder of a key is looked for
  /// anew: it may be handing its keys over.
  static constexpr milliseconds HolderRetry{100};
  static constexpr std::size_t MostHolderRetries = 5;

  /// While others are asked of a backend server it gets no trials.
  static constexpr milliseconds InquiryPause{500};

  // Messages.

  void take(run_request &Run, steady_time Now) {
    request_id Id = Run.Request.Id;
    active_request &Active = Requests[Id];
    Active.Request = std::move(Run.Request);
    ByTicket[Active.Request.ResponseHandle.Connection] = Id;
    Timers.add(Active.Request.Deadline, {Id, 0, timer_kind::Deadline});
    orAnswerError(Active, Now, [&] { return admit(Active, Now); });
  }

  /// Does a step of a request; its failure is the answer.
  template <typename Step>
  void orAnswerError(active_request &Active, steady_time Now, Step &&Take) {
    handleFailure(std::forward<Step>(Take), [&](const failure &Failure) {
      answerError(Active, Failure.Kind, Failure.Detail, Now);
    });
  }

  void take(answer_written &Written, steady_time) {
    active_request *Active = findByTicket(Written.ResponseHandle);
    if (!Active)
      return;
    Active->Unwritten -= std::min(Active->Unwritten, Written.Bytes);
    if (Active->Attempt && Active->Paused &&
        Active->Unwritten < mostUnwritten() / 2) {
      Active->Paused = false;
      Transport.resume(Active->Attempt->Id);
    }
  }

  void take(caller_gone &Gone, steady_time Now) {
    active_request *Active = findByTicket(Gone.ResponseHandle);
    if (!Active)
      return;
    Active->CallerGone = true;
    if (sharing_scheduler<Policy>)
      request_log::callerGone(*Active, Now);
    if (!Active->Attempt) {
      stateOf(*Active).Scheduler.cancel(Active->Request.Id);
      if (Active->HoldsKey)
        Keys.forget(keyOf(Active->Request));
      drop(*Active);
      return;
    }
    // Work that may not be repeated is let to its end, so that its key can
    // tell the outcome to the caller who comes back.
    if (!Active->repeatable() && !Active->HeadPosted)
      return;
    if (Active->HoldsKey)
      rememberTooLarge(*Active, Now);
    running_attempt Attempt = abandonAttempt(*Active, Now);
    drop(*Active);
    startWaiting(Attempt, Now);
  }

  void take(version_changed &Changed, steady_time Now) {
    Version = std::move(Changed.Version);
    if (Changed.Published) {
      Metrics.setGauge(
          "version_late_milliseconds",
          request_log::millisecondsBetween(*Changed.Published, Now));
      if (Now > *Changed.Published + VersionDelay)
        request_log::versionLate(Version->Number, *Changed.Published, Now);
    }
    for (auto &[Name, State] : Services) {
      configure(Name, State, Now);
      startNext(Name, Now);
    }
  }

  void take(servers_confirmed &, steady_time Now) {
    for (const std::string &Name : Services | std::views::keys)
      startNext(Name, Now);
  }

  void take([[maybe_unused]] ejection_changed &Change,
            [[maybe_unused]] steady_time Now) {
    if constexpr (ejecting_scheduler<Policy>) {
      auto Found = Services.find(Change.Service);
      if (Found == Services.end())
        return;
      Found->second.Scheduler.setEjected(Change.Server, Change.Until, Now);
      startNext(Change.Service, Now);
    }
  }

  /// Adds what another proxy has seen of the backend servers to what was seen
  /// here.
  void take([[maybe_unused]] peer_work &Told,
            [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      state *State = stateOf(Told.Report.Service);
      if (!State)
        return;
      for (const server_work &Work : Told.Report.Servers)
        State->learn(Told.ProxyId, Work, Now);
      startNext(Told.Report.Service, Now);
    }
  }

  void take(server_death &Death, steady_time Now) {
    Quarantine.noteDeath(Death.Fingerprint, Death.Server, Now);
  }

  void take(inherited_keys &Inherited, steady_time Now) {
    Keys.inherit(Inherited.Keys, Now);
  }

  void take(retries_changed &Change, steady_time) {
    Settings.Retries = Change.Retries;
    if constexpr (sharing_scheduler<Policy>)
      if (Version)
        for (auto &[Name, State] : Services)
          State.Scheduler.setRetryTerms(
              Settings.Retries.termsFor(Version->EntryCount));
  }

  void take(answer_remaining &, steady_time Now) {
    std::vector<request_id> Remaining;
    std::ranges::copy(Requests | std::views::keys,
                      std::back_inserter(Remaining));
    for (request_id Id : Remaining)
      endNow(Requests.at(Id), Now);
  }

  void take(finish_traffic &Finish, steady_time) {
    Finishing = true;
    AtOnce = Finish.AtOnce;
  }

  // Admission.

  result<void> admit(active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    if (!Version || !Version->Ready)
      return endiverail::fail(error_kind::NotReady,
                              "the configuration or the hosts are not known");
    if (Now >= Request.Deadline)
      return endiverail::fail(error_kind::DeadlineBeforeRun,
                              "no time was left for the request");
    Active.Fingerprint =
        fingerprintOf(Request.Service->Definition.Name, Request.Kind->Name,
                      Request.Target, Request.Body);
    if (Quarantine.isQuarantined(Active.Fingerprint, Now))
      return endiverail::fail(
          error_kind::Quarantined,
          "two backend servers died while they ran this request");
    if (!Request.Kind->Idempotent && !Request.Key.empty()) {
      BOOST_LEAF_AUTO(Settled, admitKey(Active, Now));
      if (Settled)
        return {};
    }
    return place(Active, Now);
  }

  /// Decides by the request's key. True when nothing is left to do here.
  result<bool> admitKey(active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    auto Key = fleet_key::parse(Request.Key, Settings.FleetSecret);
    if (!Key) {
      // No proxy can have run it under a key that is none.
      Active.Request.Key.clear();
      return endiverail::fail(error_kind::BadRequest,
                              "the fleet did not issue this key");
    }
    BOOST_LEAF_AUTO(Admission, Keys.admit(keyOf(Request), *Key, *Version,
                                          Clock.wall(), Now));
    switch (Admission.Verdict) {
    case key_verdict::Run:
      Active.HoldsKey = true;
      return false;
    case key_verdict::Replay:
      replay(Active, *Admission.Answer, Now);
      return true;
    case key_verdict::AskHolder:
      if (Request.Forwarded)
        break;
      startAttempt(Active, toPeer(Admission.Holder->Address), Now);
      return true;
    case key_verdict::HolderUnknown:
      if (!retryHolder(Active, Now))
        break;
      return true;
    }
    return endiverail::fail(
        error_kind::KeyExpired,
        "the proxy that holds the key is not known; nothing was run now");
  }

  void replay(active_request &Active, const stored_answer &Stored,
              steady_time Now) {
    response_head Head = Stored.Head;
    Head.Headers.push_back({"Endiverail-Replayed", "true"});
    answerWhole(Active, std::move(Head), Stored.Body, "", Now);
  }

  /// Looks for the holder of the request's key again a little later. False
  /// when that was done often enough.
  bool retryHolder(active_request &Active, steady_time Now) {
    if (Active.Request.Forwarded || Active.HolderRetries == MostHolderRetries ||
        Now + HolderRetry >= Active.Request.Deadline)
      return false;
    ++Active.HolderRetries;
    Timers.add(Now + HolderRetry,
               {Active.Request.Id, 0, timer_kind::HolderRetry});
    return true;
  }

  /// A key holds for one service: its requests all come to this thread.
  static std::string keyOf(const caller_request &Request) {
    return Request.Service->Definition.Name + "/" + Request.Key;
  }

  /// Sends the request to its owner, or lets it wait for a slot here.
  result<void> place(active_request &Active, steady_time Now) {
    if (!Active.Request.TryServer.empty())
      return tryForPeer(Active, Now);
    std::string Name = Active.Request.Service->Definition.Name;
    request_id Id = Active.Request.Id;
    bool Owns = !Version->ownServers(Name).empty();
    if (!Owns && !Active.Request.Forwarded)
      if (const service_owner *Owner =
              chooseOwner(*Version, Name, Active.Failed, Active.Request.Id)) {
        Metrics.onForward(Name);
        startAttempt(Active, toPeer(Owner->Address), Now);
        return {};
      }
    state &State = stateOf(Active);
    if (!State.Scheduler.hasServers())
      return endiverail::fail(error_kind::NoBackendServer,
                              "no backend server of the pool is there");
    auto Dropped = State.Scheduler.submit(waiting(Active, State), Now);
    if (Dropped)
      answerError(Requests.at(*Dropped), error_kind::QueueFull,
                  "too much of this rank waits", Now);
    startNext(Name, Now);
    holdIfWaiting(Id, Now);
    return {};
  }

  /// A request for which no server has room is looked after when it has waited
  /// long enough.
  void holdIfWaiting([[maybe_unused]] request_id Id,
                     [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      auto Found = Requests.find(Id);
      if (Found == Requests.end() || Found->second.Attempt)
        return;
      state &State = stateOf(Found->second);
      Timers.add(Now + Policy::holdTime(waiting(Found->second, State)),
                 {Id, 0, timer_kind::Deadline});
    }
  }

  /// Tries a backend server for a peer that wants to know how it is.
  result<void> tryForPeer(active_request &Active, steady_time Now) {
    const endpoint_text &Server = Active.Request.TryServer;
    auto Pool = Version->View.pool(Active.Request.Service->Definition.Pool);
    if (std::ranges::find(Pool, Server, &backend_server::Address) == Pool.end())
      return endiverail::fail(error_kind::NoBackendServer,
                              "the backend server to try is not known");
    startAttempt(Active, {Server, attempt_route::Trial, "", ""}, Now);
    return {};
  }

  waiting_request waiting(const active_request &Active, state &State) {
    const caller_request &Request = Active.Request;
    return {Request.Id,
            Request.Kind->Rank,
            Request.Kind->Bulk,
            Request.Kind->Idempotent,
            Request.Organisation,
            Request.Arrived,
            Request.Kind->LatencyTarget,
            Request.Deadline,
            State.times(*Request.Kind).usual(),
            Active.Failed};
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

  /// The state of a service in force, or nullptr.
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
    // A proxy that owns none still runs what an owner in its view would: the
    // views of two proxies may differ for a while.
    auto Servers = Version->ownServers(Name);
    if (Servers.empty())
      Servers = Version->View.pool(Service->Definition.Pool);
    State.Scheduler.configure(Service->Definition, Servers, Now);
    if constexpr (sharing_scheduler<Policy>) {
      State.Scheduler.setDataCentre(Settings.DataCentre);
      State.Scheduler.setRetryTerms(
          Settings.Retries.termsFor(Version->EntryCount));
      State.Scheduler.setTrialShare(
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
    for (const waiting_request &Late : Scheduler.takeExpired(Now))
      answerError(Requests.at(Late.Id), error_kind::DeadlineBeforeRun,
                  "no slot came free in time", Now);
    if constexpr (ejecting_scheduler<Policy>)
      askOpinion(Found->second, Now);
    auto Next = [&] {
      return serversUnconfirmed(Now) ? std::nullopt : Scheduler.next(Now);
    };
    while (auto Assignment = Next())
      startAttempt(Requests.at(Assignment->Request),
                   {Assignment->Server, attempt_route::Slot, "",
                    std::move(Assignment->Instance), Assignment->Doubt,
                    Assignment->SlotsUsed, Assignment->Slots},
                   Now);
    if constexpr (ejecting_scheduler<Policy>)
      if (auto Trial = Scheduler.nextTrial();
          Trial && Scheduler.waiting() > 0 && *Trial > Now)
        wakeForTrial(*Trial);
    if constexpr (sharing_scheduler<Policy>)
      reportWork(Found->first, Found->second, Now);
  }

  /// Tells the other proxies of a service's work here, once that is due.
  void reportWork(const std::string &Name, state &State, steady_time Now) {
    if (State.Work.empty())
      return;
    if (State.Work.due(Now))
      Control.notify(State.Work.take(Name, Now));
    if (!State.Work.empty() && State.NextWorkReport <= Now) {
      State.NextWorkReport = std::max(State.Work.nextDue(), Now);
      Timers.add(State.NextWorkReport, {0, 0, timer_kind::WorkReport});
    }
  }

  void wakeForTrial(steady_time At) {
    if (TrialWake && *TrialWake <= At)
      return;
    TrialWake = At;
    Timers.add(At, {0, 0, timer_kind::Trial});
  }

  void startWaiting(const running_attempt &Attempt, steady_time Now) {
    if (Attempt.Target.Route != attempt_route::Slot)
      return;
    auto Found = ServiceOfServer.find(Attempt.Target.Server);
    if (Found != ServiceOfServer.end())
      startNext(std::string(Found->second), Now);
  }

  /// Lets another proxy try a backend server that fails from here, with the
  /// next request that may be risked.
  void askOpinion(state &State, steady_time Now) {
    auto Server = State.Opinions.due(Now);
    if (!Server)
      return;
    const proxy_member *Observer =
        chooseObserver(*Version, *Server, NextAttempt);
    if (!Observer)
      return State.Opinions.nobodyToAsk(*Server);
    auto Request = State.Scheduler.takeForTrial(Now);
    if (!Request)
      return;
    State.Opinions.onAsked(*Server, Now);
    State.Scheduler.postponeTrial(*Server, Now + InquiryPause);
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
    Active.Attempt =
        running_attempt{Id, Target, Now, std::nullopt, 0, false, std::nullopt};
    ++Active.Attempts;
    ByAttempt[Id] = Request.Id;
    auto Left =
        std::chrono::duration_cast<milliseconds>(Request.Deadline - Now);
    // An opinion is worth no more time than the pool nearly always takes.
    if (!Target.OpinionOf.empty())
      Left = std::min(Left / 2,
                      2 * stateOf(Active).times(*Request.Kind).patience());
    std::vector<header_field> Headers =
        Target.Route == attempt_route::Peer
            ? peerFields(sender(), Active, Left * 9 / 10)
            : Words.serverFields(
                  {sender(), Request, Id, Target.Instance, Left});
    if (Target.Route != attempt_route::Peer) {
      ServiceOfServer[Target.Server] = Request.Service->Definition.Name;
      Deaths.onStart(Target.Server, Id);
    }
    if (Target.Route == attempt_route::Slot) {
      Timers.add(Now + patienceOf(Active), {Request.Id, Id, timer_kind::Slow});
      stateOf(Active).noteUse(Target.Server);
      if constexpr (sharing_scheduler<Policy>)
        if (auto After = state::acceptedAfter(Target))
          Timers.add(Now + *After, {Request.Id, Id, timer_kind::Accepted});
      // An attempt that may be repeated leaves time for another one, but not
      // before nearly all answers have come: long work is as long elsewhere.
      if (Active.repeatable() && Active.Attempts < Request.Kind->MaxAttempts)
        Timers.add(
            Now + std::max(Left / 2,
                           stateOf(Active).times(*Request.Kind).patience()),
            {Request.Id, Id, timer_kind::NoHead});
    }
    Transport.start({Id, Target.Server, Request.Method, Request.Target, Headers,
                     Request.Body, connectionFor(Active.repeatable()), Left,
                     Dialect::AcceptsUnframed});
  }

  attempt_sender sender() const {
    return {Version->SelfId, Version->SelfIncarnation, Settings.Seed,
            Settings.FleetSecret};
  }

  /// A backend server that fails for a peer as well: the request is tried
  /// again here. A value refuses the answer.
  static std::optional<error_kind>
  judgeOpinion(running_attempt &Attempt, const backend_response_head &Head) {
    std::string_view Error = findHeader(Head.Headers, "Endiverail-Error");
    if (Attempt.Target.OpinionOf.empty() ||
        (Error.empty() && Head.Status < 500))
      return std::nullopt;
    Attempt.PeerFound = errorFromName(Error).value_or(error_kind::BackendError);
    return Attempt.PeerFound;
  }

  /// Takes what a peer has found of a backend server.
  void noteOpinion(active_request &Active, const running_attempt &Attempt,
                   const attempt_end &End) {
    if (Attempt.Target.OpinionOf.empty())
      return;
    second_opinions &Opinions = stateOf(Active).Opinions;
    if (!End.Failure)
      Opinions.note(Attempt.Target.OpinionOf, true);
    // The peer's own trouble is no opinion.
    else if (Attempt.PeerFound && isServerFailure(*Attempt.PeerFound))
      Opinions.note(Attempt.Target.OpinionOf, false);
  }

  /// Judges a backend server's head; a value refuses the answer.
  std::optional<error_kind> judge(active_request &Active,
                                  const backend_response_head &Head,
                                  steady_time Now) {
    const running_attempt &Attempt = *Active.Attempt;
    state &State = stateOf(Active);
    attempt_failure Failure{error_kind::BackendError, false, false};
    bool MayRetry =
        Attempt.Target.Route == attempt_route::Slot &&
        nextStep(Failure, history(Active, Now)) == attempt_step::Retry;
    response_classification Judgement = Words.judge(
        Head, Words.attemptMark({sender(), Active.Request, Attempt.Id, "", {}}),
        MayRetry);
    if (Judgement.Leaving) {
      State.Scheduler.markLeaving(Attempt.Target.Server, Now);
      Control.notify(server_leaving{Active.Request.Service->Definition.Name,
                                    Attempt.Target.Server});
    }
    if (Judgement.Error)
      return Judgement.Error;
    if (Judgement.ServerFailed) {
      State.noteSignal(Attempt.Target.Server,
                       signalOf(error_kind::BackendError, Active, Attempt, Now),
                       Now);
      return std::nullopt;
    }
    // What it waited for slots says nothing of its work.
    auto Worked = std::chrono::duration<double>(Now - Attempt.Started) /
                  Attempt.Target.waitFactor();
    State.times(*Active.Request.Kind)
        .add(std::chrono::duration_cast<microseconds>(Worked), Now);
    noteAccepted(Active, Now);
    if (Attempt.SlowReports == 0)
      State.noteSignal(Attempt.Target.Server, attempt_signal::Good, Now);
    return std::nullopt;
  }

  /// Notes once an attempt that its backend server works on, or has answered.
  void noteAccepted(active_request &Active, steady_time Now) {
    if (!std::exchange(Active.Attempt->Accepted, true))
      stateOf(Active).noteSignal(Active.Attempt->Target.Server,
                                 attempt_signal::Accepted, Now);
  }

  attempt_history history(const active_request &Active, steady_time Now) {
    const caller_request &Request = Active.Request;
    state &State = stateOf(Active);
    return {Request.Kind->Idempotent,
            Active.Attempts,
            Active.Cuts,
            Active.MayHaveRun,
            std::chrono::duration_cast<milliseconds>(Request.Deadline - Now),
            State.times(*Request.Kind).usual(),
            State.Scheduler.retries().available(Request.Kind->Rank),
            Request.Kind->MaxAttempts};
  }

  /// Frees what the attempt held and takes what it has shown.
  void settle(active_request &Active, const running_attempt &Attempt,
              const attempt_end &End, steady_time Now) {
    if (Attempt.Target.Route == attempt_route::Peer)
      return noteOpinion(Active, Attempt, End);
    bool Cut = End.Failure && End.Failure->Kind == error_kind::BackendCut;
    if (Cut && !Attempt.Head)
      Deaths.onCut(Attempt.Target.Server, Attempt.Id, Active.Fingerprint, Now);
    else
      Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    if (Attempt.Target.Route == attempt_route::Trial)
      return;
    Policy &Scheduler = stateOf(Active).Scheduler;
    releaseSlot(Active, Attempt, Now);
    if (!End.Failure) {
      Scheduler.retries().onSuccess(Active.Request.Kind->Rank);
      Quarantine.clear(Active.Fingerprint);
      reportEvidence(Active, Now);
      return;
    }
    stateOf(Active).noteSignal(
        Attempt.Target.Server,
        signalOf(End.Failure->Kind, Active, Attempt, Now), Now);
    reportEvidence(Active, Now);
  }

  attempt_signal signalOf(error_kind Failure, const active_request &Active,
                          const running_attempt &Attempt, steady_time Now) {
    return stateOf(Active).signalOf(Failure, *Active.Request.Kind,
                                    Attempt.Target, Now - Attempt.Started);
  }

  void releaseSlot(const active_request &Active, const running_attempt &Attempt,
                   steady_time Now) {
    state &State = stateOf(Active);
    State.Scheduler.release(Attempt.Target.Server, Active.Request.Kind->Rank,
                            Now);
    State.noteUse(Attempt.Target.Server);
  }

  void reportEvidence([[maybe_unused]] const active_request &Active,
                      [[maybe_unused]] steady_time Now) {
    if constexpr (ejecting_scheduler<Policy>)
      reportCondemned(Active.Request.Service->Definition.Name, stateOf(Active),
                      Now);
  }

  void reportCondemned(const std::string &Name, state &State, steady_time Now) {
    Policy &Scheduler = State.Scheduler;
    std::vector<endpoint_text> Condemned = Scheduler.condemned();
    State.Opinions.keepOnly(Condemned, Now);
    for (endpoint_text &Server : Condemned)
      switch (State.Opinions.verdict(
          Server, Scheduler.failingShare(Server, Now), Now)) {
      case opinion_verdict::Open:
        Scheduler.postponeTrial(Server, Now + InquiryPause);
        break;
      case opinion_verdict::Confirmed:
        Control.notify(ejection_wish{Name, std::move(Server), true});
        break;
      case opinion_verdict::Contradicted:
        Control.notify(path_fault_found{Name, std::move(Server)});
      }
    for (endpoint_text &Server : Scheduler.recovered())
      Control.notify(ejection_wish{Name, std::move(Server), false});
  }

  /// Takes the attempt away from the request, cutting it off.
  running_attempt abandonAttempt(active_request &Active, steady_time Now) {
    running_attempt Attempt = std::move(*Active.Attempt);
    Active.Attempt.reset();
    ByAttempt.erase(Attempt.Id);
    Transport.cancel(Attempt.Id);
    if (Attempt.Target.Route != attempt_route::Peer)
      Deaths.onEnd(Attempt.Target.Server, Attempt.Id);
    if (Attempt.Target.Route == attempt_route::Slot)
      releaseSlot(Active, Attempt, Now);
    return Attempt;
  }

  // Answers.

  void complete(active_request &Active, const running_attempt &Attempt,
                steady_time Now) {
    response_head Head = Words.callerHead(*Attempt.Head, Attempt.fromPeer());
    if (Head.Status >= FirstServerError && sharing_scheduler<Policy>)
      request_log::failurePassedOn(Active, Attempt, Now);
    std::string Error(findHeader(Head.Headers, "Endiverail-Error"));
    if (!Active.HeadPosted) {
      std::string Body = std::exchange(Active.Buffered, {});
      if (Active.HoldsKey)
        rememberOutcome(Active, Head, Body, Now);
      answerWhole(Active, std::move(Head), std::move(Body), Error, Now);
      return;
    }
    if (Active.HoldsKey)
      rememberTooLarge(Active, Now);
    Answers.finish(Active, Head.Outcome, Error, Now);
    drop(Active);
  }

  void fail(active_request &Active, const running_attempt &Attempt,
            attempt_failure Failure, steady_time Now) {
    // Only the holder of a key may run its request or tell of it.
    if (Attempt.fromPeer() && isKeyOfAnother(Active)) {
      if (!Failure.ProvenNotRun || !retryHolder(Active, Now))
        answerError(Active, error_kind::KeyExpired,
                    "the proxy that holds the key does not answer", Now);
      return;
    }
    // What a peer has not taken was run by nobody.
    if (Attempt.fromPeer() && !Failure.ProvenNotRun)
      Failure.Kind = error_kind::PeerLost;
    if (Failure.Kind == error_kind::BackendShed)
      Failure.ProvenNotRun = true;
    Failure.ResponseStarted = Active.HeadPosted;
    Active.Cuts += Failure.Kind == error_kind::BackendCut ? 1 : 0;
    attempt_history History = history(Active, Now);
    attempt_step Step = nextStep(Failure, History);
    if (Active.CallerGone || (Attempt.Target.Route == attempt_route::Trial &&
                              Step == attempt_step::Retry))
      Step = attempt_step::ReturnError;
    if (Step == attempt_step::CloseConnection) {
      breakAnswer(Active, Now);
      return;
    }
    if (Step == attempt_step::ReturnError) {
      answerError(Active, finalError(Failure, History), "", Now);
      return;
    }
    retry(Active, Attempt, Failure, Now);
  }

  void retry(active_request &Active, const running_attempt &Attempt,
             const attempt_failure &Failure, steady_time Now) {
    std::string Name = Active.Request.Service->Definition.Name;
    Active.MayHaveRun |= !Failure.ProvenNotRun;
    Active.Failed.push_back(Attempt.Target.Server);
    Active.Buffered.clear();
    state &State = stateOf(Active);
    State.Scheduler.retries().take(Active.Request.Kind->Rank);
    Metrics.onRetry(Name);
    if (Attempt.fromPeer()) {
      orAnswerError(Active, Now, [&] { return place(Active, Now); });
      return;
    }
    request_id Id = Active.Request.Id;
    State.Scheduler.resubmit(waiting(Active, State), Now);
    startNext(Name, Now);
    holdIfWaiting(Id, Now);
  }

  /// The server of an attempt that has sent nothing yet is to get no more work:
  /// the request is placed as if that attempt had not been made.
  void placeElsewhere(active_request &Active, const running_attempt &Attempt,
                      steady_time Now) {
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
      drop(Active);
      return;
    }
    if (Leaving)
      Active.Failed.push_back(Attempt.Target.Server);
    std::string Name = Active.Request.Service->Definition.Name;
    request_id Id = Active.Request.Id;
    State.Scheduler.resubmit(waiting(Active, State), Now);
    startNext(Name, Now);
    holdIfWaiting(Id, Now);
  }

  /// Answers a request before its time, by what is known of it.
  void endNow(active_request &Active, steady_time Now) {
    if (!Active.Attempt) {
      stateOf(Active).Scheduler.cancel(Active.Request.Id);
      return answerError(Active, error_kind::Draining,
                         "the process ends before the request could start",
                         Now);
    }
    abandonAttempt(Active, Now);
    if (Active.HeadPosted)
      return breakAnswer(Active, Now);
    Active.MayHaveRun = true;
    answerError(Active, error_kind::BackendTimeout,
                "the process ends before the answer", Now);
  }

  void breakAnswer(active_request &Active, steady_time Now) {
    if (Active.HoldsKey)
      rememberOutcome(Active, errorResponseHead(error_kind::BackendCut),
                      "the answer was cut\n", Now);
    Answers.breakOff(Active, Now);
    drop(Active);
  }

  void answerError(active_request &Active, error_kind Kind,
                   std::string_view Detail, steady_time Now) {
    // A retry that never started does not undo what an earlier attempt did.
    if (Active.MayHaveRun && errorAnswer(Kind).Outcome == outcome::NotRun)
      Kind = error_kind::BackendCut;
    response_head Head =
        Words.errorResponseHead(Kind, reservePause(Active, Kind, Now));
    if (isKeyOfAnother(Active))
      Head.Outcome = outcome::Unknown;
    if (sharing_scheduler<Policy>)
      request_log::refused(Active, Head, Kind, Detail, Now);
    std::string Body(errorAnswer(Kind).Name);
    Body.append(": ").append(Detail).push_back('\n');
    if (Active.HoldsKey) {
      if (errorAnswer(Kind).Outcome == outcome::NotRun)
        Keys.forget(keyOf(Active.Request));
      else
        rememberOutcome(Active, errorResponseHead(Kind), Body, Now);
    }
    answerWhole(Active, std::move(Head), std::move(Body),
                errorAnswer(Kind).Name, Now);
  }

  /// Time after which a refused request should come back; 0 for not known.
  milliseconds reservePause([[maybe_unused]] const active_request &Active,
                            [[maybe_unused]] error_kind Kind,
                            [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      if (errorAnswer(Kind).RetryAfterSeconds > 0)
        return stateOf(Active).Scheduler.reservePause(Now);
    return milliseconds(0);
  }

  /// Whether the request has a key that this thread does not hold: an earlier
  /// sending may have run, so nothing here can tell that it has not.
  static bool isKeyOfAnother(const active_request &Active) {
    return !Active.Request.Kind->Idempotent && !Active.Request.Key.empty() &&
           !Active.HoldsKey;
  }

  void rememberOutcome(const active_request &Active, response_head Head,
                       std::string Body, steady_time Now) {
    Keys.finish(keyOf(Active.Request), {std::move(Head), std::move(Body)}, Now);
  }

  void rememberTooLarge(const active_request &Active, steady_time Now) {
    rememberOutcome(Active, errorResponseHead(error_kind::KeyExpired),
                    "the request ran; its answer was too large to keep\n", Now);
  }

  void answerWhole(active_request &Active, response_head Head, std::string Body,
                   std::string_view Error, steady_time Now) {
    Answers.whole(Active, std::move(Head), std::move(Body), Error, Now);
    drop(Active);
  }

  void drop(active_request &Active) {
    auto ResponseHandle =
        ByTicket.find(Active.Request.ResponseHandle.Connection);
    if (ResponseHandle != ByTicket.end() &&
        ResponseHandle->second == Active.Request.Id)
      ByTicket.erase(ResponseHandle);
    Requests.erase(Active.Request.Id);
  }

  // Time.

  void runTimers(steady_time Now) {
    while (auto Due = Timers.takeDue(Now)) {
      auto Found = Requests.find(Due->Request);
      if (Due->Kind == timer_kind::Trial)
        onTrialDue(Now);
      else if (Due->Kind == timer_kind::WorkReport)
        reportAllWork(Now);
      else if (Found != Requests.end())
        onTimer(Found->second, *Due, Now);
    }
  }

  void reportAllWork(steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      for (auto &[Name, State] : Services)
        reportWork(Name, State, Now);
  }

  void onTrialDue(steady_time Now) {
    TrialWake.reset();
    for (auto &[Name, State] : Services)
      startNext(Name, Now);
  }

  void onTimer(active_request &Active, const request_timer &Due,
               steady_time Now) {
    bool Running = Active.Attempt.has_value();
    if (Due.Kind == timer_kind::HolderRetry)
      return orAnswerError(Active, Now, [&] { return admit(Active, Now); });
    if (Due.Kind == timer_kind::Deadline) {
      if (!Running)
        startNext(std::string(Active.Request.Service->Definition.Name), Now);
      return;
    }
    if (!Running || Active.Attempt->Id != Due.Attempt || Active.Attempt->Head)
      return;
    if (Due.Kind == timer_kind::Accepted) {
      noteAccepted(Active, Now);
      // Its server may be given more now.
      startNext(std::string(Active.Request.Service->Definition.Name), Now);
    } else if (Due.Kind == timer_kind::Slow)
      reportSlow(Active, Now);
    else
      giveUpAttempt(Active, Now);
  }

  /// An attempt that stays without an answer keeps telling against its
  /// backend server: when all its slots hang, nothing else would.
  void reportSlow(active_request &Active, steady_time Now) {
    running_attempt &Attempt = *Active.Attempt;
    state &State = stateOf(Active);
    State.noteSignal(Attempt.Target.Server, attempt_signal::Slow, Now);
    reportEvidence(Active, Now);
    ++Attempt.SlowReports;
    Timers.add(Now + patienceOf(Active),
               {Active.Request.Id, Attempt.Id, timer_kind::Slow});
    // Another server may still answer in time what this one holds up.
    if constexpr (sharing_scheduler<Policy>)
      if (Active.repeatable() &&
          State.Scheduler.isSlow(Attempt.Target.Server, Now))
        giveUpAttempt(Active, Now);
  }

  /// Time after which an attempt counts as slow. Where nobody else may find out
  /// about a hanging server, its requests tell early.
  milliseconds patienceOf(const active_request &Active) {
    constexpr double SlowFactor = 2.5;
    answer_times &Times = stateOf(Active).times(*Active.Request.Kind);
    if (!sharing_scheduler<Policy>)
      return Times.patience();
    auto Slow = std::chrono::duration_cast<milliseconds>(
        Times.usual() * SlowFactor * Active.Attempt->Target.waitFactor());
    return std::min(Times.patience(), Slow);
  }

  void giveUpAttempt(active_request &Active, steady_time Now) {
    state &State = stateOf(Active);
    attempt_failure Failure{error_kind::BackendTimeout, false, false};
    if (nextStep(Failure, history(Active, Now)) != attempt_step::Retry)
      return;
    running_attempt Attempt = abandonAttempt(Active, Now);
    State.noteSignal(Attempt.Target.Server, attempt_signal::Failed, Now);
    reportEvidence(Active, Now);
    retry(Active, Attempt, Failure, Now);
    startWaiting(Attempt, Now);
  }

  void onDeath(const death_watch::death &Death, steady_time Now) {
    auto Service = ServiceOfServer.find(Death.Server);
    for (request_fingerprint Fingerprint : Death.Running)
      if (Quarantine.noteDeath(Fingerprint, Death.Server, Now) &&
          Service != ServiceOfServer.end())
        Control.notify(
            server_death{Service->second, Fingerprint, Death.Server});
  }

  void report(steady_time Now) {
    NextReport = Now + ReportPeriod;
    Quarantine.expire(Now);
    Keys.expire(Now);
    for (const auto &[Name, State] : Services)
      Control.notify(standing_report{Name, State.Scheduler.waiting(),
                                     State.Scheduler.status(Now)});
  }

  // Lookups.

  active_request *findByAttempt(attempt_id Id) {
    auto Found = ByAttempt.find(Id);
    return Found == ByAttempt.end() ? nullptr : &Requests.at(Found->second);
  }

  active_request *findByTicket(const response_handle &ResponseHandle) {
    auto Found = ByTicket.find(ResponseHandle.Connection);
    if (Found == ByTicket.end())
      return nullptr;
    active_request &Active = Requests.at(Found->second);
    return Active.Request.ResponseHandle == ResponseHandle ? &Active : nullptr;
  }

  poller Poller;
  mailbox<traffic_message> Inbox;
  traffic_settings Settings;
  Dialect Words;
  answer_writer<Sink, Dialect> Answers;
  Link &Control;
  process_metrics &Metrics;
  Time Clock;
  TransportOf<traffic_thread> Transport;

  fleet_version_ref Version;
  std::map<std::string, state, std::less<>> Services;
  std::unordered_map<request_id, active_request> Requests;
  std::unordered_map<attempt_id, request_id> ByAttempt;
  /// A connection has one request in progress at most.
  std::unordered_map<std::uint64_t, request_id> ByTicket;
  std::map<endpoint_text, std::string, std::less<>> ServiceOfServer;
  request_timers Timers;
  key_registry Keys;
  quarantine Quarantine;
  death_watch Deaths;
  attempt_id NextAttempt = 1;
  std::optional<steady_time> TrialWake;
  steady_time NextReport;
  bool Finishing = false;
  bool AtOnce = false;
};

} // namespace endiverail
