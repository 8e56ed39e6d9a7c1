#include "failure_check.h"
#include "files/store_daemon_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

nlohmann::json good() {
  return {{"id", "host-1"},
          {"data_centre", "z"},
          {"caller_address", "127.0.0.1:8000"},
          {"ready_address", "127.0.0.1:8001"},
          {"directory_address", "127.0.0.1:8002"},
          {"peer_address", "127.0.0.1:8003"},
          {"store", "127.0.0.1:9000"},
          {"seeds", {"127.0.0.1:1"}},
          {"grace_s", 2},
          {"retries", {{"share_of_requests", 0.2}, {"extra", 62}}},
          {"fleet_secret", "a secret of the fleet"}};
}

store_daemon_settings read(const nlohmann::json &Json) {
  return valueFrom(
      [&] { return readStoreDaemonSettings("settings", Json.dump()); });
}

} // namespace

TEST_CASE("how closely quotas have to be kept is read from the settings") {
  nlohmann::json Json = good();
  Json["quotas"] = {{"window_s", 2.5}, {"overage", 0.1}, {"slack", 20}};
  CHECK(read(Json).Quotas == quota_settings{2'500ms, 0.1, 20});
}

TEST_CASE("without quotas in the settings none may be exceeded") {
  CHECK(read(good()).Quotas == quota_settings{5'000ms, 0, 0});
}

TEST_CASE("a mistake in the settings of quotas is named") {
  struct row {
    const char *Name;
    nlohmann::json Value;
  };
  const row Rows[]{
      {"window_s", 0},    {"window_s", 0.9},     {"window_s", 601},
      {"window_s", "5"},  {"overage", -0.1},     {"overage", 11},
      {"overage", false}, {"slack", -1},         {"slack", 2e6},
      {"slack", nullptr}, {"slack", "twenty"},   {"window_s", -5},
      {"window", 5},      {"overage", {1, 0.1}},
  };
  for (const row &Row : Rows) {
    nlohmann::json Json = good();
    Json["quotas"] = {{"window_s", 5}, {"overage", 0.1}, {"slack", 20}};
    Json["quotas"][Row.Name] = Row.Value;
    INFO(Json["quotas"].dump());
    std::string Detail = detailOf(
        [&] { return readStoreDaemonSettings("settings", Json.dump()); });
    INFO(Detail);
    CHECK(
        Detail.starts_with("settings:/quotas/" + std::string(Row.Name) + ": "));
  }
  for (const char *Missing : {"window_s", "overage", "slack"}) {
    nlohmann::json Json = good();
    Json["quotas"] = {{"window_s", 5}, {"overage", 0.1}, {"slack", 20}};
    Json["quotas"].erase(Missing);
    std::string Detail = detailOf(
        [&] { return readStoreDaemonSettings("settings", Json.dump()); });
    INFO(Detail);
    CHECK(Detail.find("/quotas/" + std::string(Missing)) != std::string::npos);
  }
}

TEST_CASE("how requests are placed is read from the settings") {
  CHECK(read(good()).Placement == placement_measure::SlotsInUse);
  CHECK_FALSE(read(good()).SamplesServers);
  nlohmann::json Json = good();
  Json["placement"] = "remaining_work";
  Json["samples_servers"] = true;
  CHECK(read(Json).Placement == placement_measure::RemainingWork);
  CHECK(read(Json).SamplesServers);
  Json["placement"] = "any";
  CHECK(detailOf([&] {
          return readStoreDaemonSettings("settings", Json.dump());
        }).starts_with("settings:/placement: "));
}
