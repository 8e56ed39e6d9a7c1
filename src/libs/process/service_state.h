#pragma once

#include "placement/cost_model.h"
#include "process/active_request.h"
#include "process/answer_times.h"
#include "process/connection_reuse.h"
#include "process/failure_confirmation.h"
#include "process/health_estimator.h"
#include "process/outcome_table.h"
#include "process/request_scheduler.h"
#include "process/work_report.h"
#include "version/fleet_version.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endiverail {

/// State that a traffic thread keeps of one service beyond single requests.
template <request_scheduler Policy> class service_state {
public:
  service_state(const service_definition &Definition, std::uint64_t Seed)
      : Scheduler(Definition, Seed) {}

  Policy Scheduler;
  /// Collects the next report to other proxies about the service's requests
  /// here.
  work_report_builder Work;
  /// Slots in use as reported by other proxies.
  remote_slots RemoteSlots;
  /// What requests cost the servers.
  cost_model Costs;
  failure_confirmation Opinions;
  connection_reuse Connections;
  /// The version that the scheduler was configured for.
  std::uint64_t VersionNumber = 0;

  answer_times &answerTimes(const work_kind &Kind) {
    return AnswerTimes.try_emplace(Kind.Name, Kind.LatencyTarget).first->second;
  }

  /// Passes the signal of an attempt to the scheduler and adds it to the next
  /// report to other proxies.
  void recordSignal(std::string_view Server, attempt_signal Signal,
                    steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      if (showsArrival(Signal))
        recordReached(Server, Now);
      Work.recordSignal(Server, Signal);
    }
    Scheduler.observe(Server, Signal, Now);
  }

  /// Records that a request has reached a server. The other proxies are told at
  /// once if it was idle, as one of them may be about to try it, too.
  void recordReached([[maybe_unused]] std::string_view Server,
                     [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      if (Scheduler.isIdle(Server, Now))
        Work.expedite();
      Scheduler.recordReached(Server, Now);
      Work.recordReached(Server, Now);
    }
  }

  /// Records that the server no longer works on the request.
  void recordWorkEnd([[maybe_unused]] std::string_view Server,
                     [[maybe_unused]] request_id Id) {
    if constexpr (sharing_scheduler<Policy>)
      Scheduler.recordWorkEnd(Server, Id);
  }

  /// Adds the number of a server's slots in use here to the next report to
  /// other proxies, which is sent at once if the server was idle.
  void recordUse([[maybe_unused]] std::string_view Server,
                 [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      Work.recordUse(Server, Scheduler.localSlots(Server));
      if (Scheduler.isIdle(Server, Now))
        Work.expedite();
    }
  }

  /// Applies the report of another proxy about a server.
  void applyRemoteWork([[maybe_unused]] std::string_view Proxy,
                       [[maybe_unused]] const server_work &Reported,
                       [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      RemoteSlots.record(Proxy, Reported, Now);
      Scheduler.setRemoteSlots(Reported.Server,
                               RemoteSlots.used(Reported.Server), Now);
      milliseconds Age = Reported.ReachedAgo.value_or(milliseconds(0));
      if (Reported.ReachedAgo)
        Scheduler.recordReached(Reported.Server, Now - Age);
      auto Observe = [&](std::uint32_t Count, attempt_signal Signal) {
        for (; Count > 0; --Count)
          Scheduler.observe(Reported.Server, Signal, Now, Age);
      };
      Observe(Reported.Accepted, attempt_signal::Accepted);
      Observe(Reported.Good, attempt_signal::Good);
      Observe(Reported.Slow, attempt_signal::Slow);
      Observe(Reported.ErrorAfterWork, attempt_signal::ErrorAfterWork);
      Observe(Reported.Failed, attempt_signal::Failed);
    }
  }

  /// Frees the slots whose reports have expired: their proxies may be lost.
  void expireRemoteWork([[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>)
      for (const endpoint_text &Server : RemoteSlots.takeExpired(Now))
        Scheduler.setRemoteSlots(Server, RemoteSlots.used(Server), Now);
  }

  /// Whether an attempt that has not failed within FastFailureWindow counts as
  /// accepted. If the request is queued behind others at the server, a missing
  /// answer tells nothing.
  static bool mayAssumeAccepted(const attempt_target &Target) {
    return Target.SlotsUsed <= Target.Slots || Target.Slots == 0;
  }

  /// The signal given by an attempt that failed after \p Taken.
  attempt_signal signalOf(error_kind Failure, const work_kind &Kind,
                          const attempt_target &Target,
                          steady_time::duration Taken) {
    // An unhealthy server fails a request at its turn, a healthy one only after
    // working on it.
    constexpr double FastFailureWorkShare = 0.125;
    // For a queued request, the time until its turn is known only roughly.
    constexpr double QueuedFastFailureWorkShare = 0.25;
    double WaitFactor = Target.queueingFactor();
    auto FastFailureLimit =
        answerTimes(Kind).usual() *
        (WaitFactor > 1 ? WaitFactor - 1 + QueuedFastFailureWorkShare
                        : FastFailureWorkShare);
    switch (Failure) {
    case error_kind::BackendShed:
      return attempt_signal::Shed;
    case error_kind::BackendUnreachable:
      return attempt_signal::Unreachable;
    case error_kind::BackendError:
      return Taken < FastFailureLimit ? attempt_signal::Failed
                                      : attempt_signal::ErrorAfterWork;
    default:
      return attempt_signal::Failed;
    }
  }

private:
  std::map<std::string, answer_times, std::less<>> AnswerTimes;
};

} // namespace endiverail
