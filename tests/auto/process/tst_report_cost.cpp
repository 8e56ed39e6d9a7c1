#include "process/pool_scheduler.h"
#include "process/service_state.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace endiverail;
using namespace std::chrono_literals;

// Hidden; its instructions are counted by hand (docs/MEASUREMENTS.md).
TEST_CASE("reports of a fleet about a large pool are applied", "[.cost]") {
  constexpr std::size_t Proxies = 110;
  constexpr std::size_t Servers = 163;
  constexpr std::size_t Reports = 5'000;
  constexpr std::size_t ServersPerReport = 5;
  service_definition Definition;
  Definition.Name = Definition.Pool = "s";
  std::vector<backend_server> Pool;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    Pool.push_back({"10.1.64." + std::to_string(Index) + ":8001", "s", "dc",
                    server_state::Live});
  service_state<pool_scheduler> State(Definition, 1);
  steady_time Now{1h};
  State.Scheduler.configure(Definition, Pool, Now);
  for (std::size_t Report = 0; Report < Reports; ++Report) {
    Now += 2ms;
    std::string Proxy = "frontend-" + std::to_string(Report % Proxies);
    for (std::size_t Server = 0; Server < ServersPerReport; ++Server) {
      server_work Work{Pool[(Report * 7 + Server * 31) % Servers].Address};
      Work.InUse = Report % 3;
      Work.Good = Work.Accepted = 1;
      State.applyRemoteWork(Proxy, Work, Now);
    }
  }
  CHECK(State.Scheduler.hasServers());
}
