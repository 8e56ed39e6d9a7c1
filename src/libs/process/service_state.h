#pragma once

#include "process/active_request.h"
#include "process/answer_times.h"
#include "process/outcome_table.h"
#include "process/request_scheduler.h"
#include "process/second_opinions.h"
#include "process/server_belief.h"
#include "process/work_report.h"
#include "version/fleet_version.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endiverail {

/// What a traffic thread keeps of one service beyond single requests.
template <request_scheduler Policy> class service_state {
public:
  service_state(const service_definition &Definition, std::uint64_t Seed)
      : Scheduler(Definition, Seed) {}

  Policy Scheduler;
  /// What other proxies are to be told of the service's work here.
  work_collector Work;
  steady_time NextWorkReport;
  /// What they have told.
  slots_elsewhere Elsewhere;
  second_opinions Opinions;
  /// The version that the scheduler was configured for.
  std::uint64_t VersionNumber = 0;

  answer_times &times(const work_kind &Kind) {
    return Times.try_emplace(Kind.Name, Kind.LatencyTarget).first->second;
  }

  /// Takes what an attempt has shown of its server, and keeps it for the report
  /// to other proxies.
  void noteSignal(std::string_view Server, attempt_signal Signal,
                  steady_time Now) {
    Scheduler.observe(Server, Signal, Now);
    if constexpr (sharing_scheduler<Policy>)
      Work.noteSignal(Server, Signal);
  }

  /// The slots in use of a server have changed here.
  void noteUse([[maybe_unused]] std::string_view Server) {
    if constexpr (sharing_scheduler<Policy>)
      Work.noteUse(Server, Scheduler.inUseHere(Server));
  }

  /// Adds what another proxy has seen to what was seen here.
  void learn([[maybe_unused]] std::string_view Proxy,
             [[maybe_unused]] const server_work &Told,
             [[maybe_unused]] steady_time Now) {
    if constexpr (sharing_scheduler<Policy>) {
      Elsewhere.note(Proxy, Told, Now);
      Scheduler.setUsedElsewhere(Told.Server, Elsewhere.used(Told.Server, Now),
                                 Now);
      auto Observe = [&](std::uint32_t Count, attempt_signal Signal) {
        for (; Count > 0; --Count)
          Scheduler.observe(Told.Server, Signal, Now);
      };
      Observe(Told.Accepted, attempt_signal::Accepted);
      Observe(Told.Good, attempt_signal::Good);
      Observe(Told.Slow, attempt_signal::Slow);
      Observe(Told.Erred, attempt_signal::Erred);
      Observe(Told.Failed, attempt_signal::Failed);
    }
  }

  /// After which time an attempt that has not failed counts as accepted;
  /// nothing where it waits behind others, as its silence tells nothing then.
  static std::optional<milliseconds>
  acceptedAfter(const attempt_target &Target) {
    return Target.SlotsUsed > Target.Slots && Target.Slots != 0
               ? std::nullopt
               : std::optional(FailsAtOnceWithin);
  }

  /// What the failure of an attempt that took \p Taken tells of its server.
  attempt_signal signalOf(error_kind Failure, const work_kind &Kind,
                          const attempt_target &Target,
                          steady_time::duration Taken) {
    // A sick server fails at its turn what a healthy one fails after its work.
    constexpr double WorkShare = 0.125;
    // How long the turn takes to come is known roughly.
    constexpr double WorkShareAfterWait = 0.25;
    double WaitFactor = Target.waitFactor();
    auto AtItsTurn =
        times(Kind).usual() *
        (WaitFactor > 1 ? WaitFactor - 1 + WorkShareAfterWait : WorkShare);
    switch (Failure) {
    case error_kind::BackendShed:
      return attempt_signal::Shed;
    case error_kind::BackendUnreachable:
      return attempt_signal::Unreachable;
    case error_kind::BackendError:
      return Taken < AtItsTurn ? attempt_signal::Failed : attempt_signal::Erred;
    default:
      return attempt_signal::Failed;
    }
  }

private:
  std::map<std::string, answer_times, std::less<>> Times;
};

} // namespace endiverail
