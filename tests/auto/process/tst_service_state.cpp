#include "process/pool_scheduler.h"
#include "process/service_state.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

using state = service_state<pool_scheduler>;

attempt_target targetWith(std::size_t SlotsUsed) {
  attempt_target Target;
  Target.Server = "a";
  Target.SlotsUsed = SlotsUsed;
  Target.Slots = 6;
  return Target;
}

} // namespace

TEST_CASE("an error is judged by the time from the request's turn on") {
  struct row {
    std::string What;
    std::size_t SlotsUsed;
    milliseconds Taken;
    attempt_signal Signal;
  };
  // The work usually takes 400 ms, a quarter of the target, and a request with
  // two full rounds before it waits for 800 ms.
  auto Row = GENERATE(
      row{"at once", 3, 10ms, attempt_signal::Failed},
      row{"after the work", 3, 400ms, attempt_signal::Erred},
      row{"at its turn", 18, 800ms, attempt_signal::Failed},
      row{"before its turn, as those before it have failed, too", 18, 300ms,
          attempt_signal::Failed},
      row{"after its turn and the work", 18, 1'200ms, attempt_signal::Erred});
  INFO(Row.What);
  work_kind Kind;
  Kind.Name = "write";
  Kind.LatencyTarget = 1'600ms;
  state State(service_definition{}, 1);
  CHECK(State.signalOf(error_kind::BackendError, Kind,
                       targetWith(Row.SlotsUsed), Row.Taken) == Row.Signal);
}

TEST_CASE("the silence of a request that waits tells nothing") {
  CHECK(state::acceptedAfter(targetWith(6)) == FailsAtOnceWithin);
  CHECK_FALSE(state::acceptedAfter(targetWith(7)));
}
