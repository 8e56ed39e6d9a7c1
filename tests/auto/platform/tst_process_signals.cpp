#include "daemon_process.h"
#include "test_ports.h"

#include <catch2/catch.hpp>

using namespace endiverail::test;

namespace {

/// Settings of a daemon whose store nobody answers for.
nlohmann::json settingsWithoutStore() {
  auto Address = [] { return "127.0.0.1:" + std::to_string(freePort()); };
  return {{"id", "d"},
          {"data_centre", "z"},
          {"region", "r"},
          {"caller_address", Address()},
          {"ready_address", Address()},
          {"directory_address", Address()},
          {"peer_address", Address()},
          {"store", Address()},
          {"seeds", nlohmann::json::array()},
          {"grace_s", 3},
          {"fleet_secret", "secret"}};
}

} // namespace

TEST_CASE("a planned stop is not cut short by further signals") {
  auto Signal = GENERATE(SIGHUP, SIGTERM, SIGINT);
  INFO("signal " << Signal);
  daemon_process Daemon(settingsWithoutStore());
  REQUIRE(Daemon.writes("started"));
  Daemon.send(SIGHUP);
  Daemon.send(SIGTERM);
  REQUIRE(Daemon.writes("draining"));
  Daemon.send(Signal);
  CHECK(Daemon.writes("ended"));
  int Status = Daemon.end();
  CHECK_FALSE(WIFSIGNALED(Status));
  CHECK(WEXITSTATUS(Status) == 0);
}
