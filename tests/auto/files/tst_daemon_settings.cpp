#include "base/text.h"
#include "failure_check.h"
#include "files/daemon_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

nlohmann::json good() {
  return {{"id", "brno-a-1"},
          {"data_centre", "brno-a"},
          {"address", "127.0.0.1:8000"},
          {"log_service", "127.0.0.1:9000"},
          {"host_list", "127.0.0.1:9000"},
          {"fleet_secret", "0123456789abcdef"},
          {"customer_keys", {std::string(64, 'a')}}};
}

} // namespace

TEST_CASE("settings are read, with defaults") {
  daemon_settings Settings = valueOf(readDaemonSettings("f", good().dump()));
  CHECK(Settings.Id == "brno-a-1");
  CHECK(Settings.TrafficThreads == 2);
  CHECK(Settings.MostBodyBytes == 1024 * 1024);
}

TEST_CASE("wrong settings are refused with a clear line") {
  struct row {
    const char *Name;
    nlohmann::json Value;
  };
  const row Rows[]{
      {"id", "a~b"},
      {"id", ""},
      {"address", "localhost:80"},
      {"log_service", 9},
      {"fleet_secret", "short"},
      {"customer_keys", nlohmann::json::array()},
      {"customer_keys", {"zz"}},
      {"traffic_threads", 0},
      {"traffic_threads", 65},
      {"key_life_ms", 1.5},
      {"key_life_ms", 39'999},
      {"seeds", {"nonsense"}},
      {"drain_timeout", 5},
  };
  for (const row &Row : Rows) {
    nlohmann::json Value = good();
    Value[Row.Name] = Row.Value;
    INFO(Value.dump());
    std::string Detail =
        detailOf([&] { return readDaemonSettings("f", Value.dump()); });
    INFO(Detail);
    CHECK(Detail.starts_with("f:/" + std::string(Row.Name) + ": "));
  }
}

TEST_CASE("an endpoint falls into host and port") {
  CHECK(splitEndpoint("127.0.0.1:80") ==
        std::pair<std::string, std::uint16_t>("127.0.0.1", 80));
}
