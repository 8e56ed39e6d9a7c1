#pragma once

#include "daemon/proxy_daemon.h"
#include "failure_check.h"
#include "http/blocking_client.h"
#include "operator/publishing.h"
#include "raw_socket.h"
#include "standin/answer_content.h"
#include "standin/standin_process.h"
#include "test_ports.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiverail::test {

/// Real daemons before a stand-in on loopback, in this process.
class fleet_fixture {
public:
  static constexpr std::size_t DaemonCount = 3;
  static constexpr std::size_t ServerCount = 4;
  static constexpr milliseconds CallTimeout{15'000};

  fleet_fixture() {
    Scenario.Platform = freeEndpoint();
    for (std::size_t Index = 0; Index < DaemonCount; ++Index)
      Scenario.EntryHosts.push_back({"p" + std::to_string(Index),
                                     "dc" + std::to_string(Index),
                                     freeEndpoint()});
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      backend_settings Server;
      Server.Address = freeEndpoint();
      Server.Pool = "shop";
      Server.DataCentre = "dc" + std::to_string(Index % 2);
      Server.ServiceTime = milliseconds(5);
      Server.RestartTime = milliseconds(300);
      Scenario.Servers.push_back(Server);
    }
    Standin = valueFrom([&] { return standin_process::create(Scenario); });
    for (std::size_t Index = 0; Index < DaemonCount; ++Index)
      Daemons.push_back(start(Index));
  }

  static std::string freeEndpoint() {
    return "127.0.0.1:" + std::to_string(freePort());
  }

  daemon_settings settings(std::size_t Index) const {
    const entry_host &Host = Scenario.EntryHosts[Index];
    nlohmann::json Json{
        {"id", Host.Id},
        {"data_centre", Host.DataCentre},
        {"address", Host.Address},
        {"log_service", Scenario.Platform},
        {"host_list", Scenario.Platform},
        {"fleet_secret", "a secret of the fleet"},
        {"customer_keys", nlohmann::json::array({Customer.Public})},
        {"address_lifetime_ms", 500},
        {"drain_timeout_ms", 10'000}};
    return valueFrom(
        [&] { return readDaemonSettings("settings", Json.dump()); });
  }

  std::unique_ptr<proxy_daemon> start(std::size_t Index) const {
    return valueFrom([&] { return proxy_daemon::create(settings(Index)); });
  }

  static std::string serviceText(std::size_t Floor = 2,
                                 milliseconds Timeout = milliseconds(3'000)) {
    auto Kind = [&](const char *Name, const char *Method, const char *Path,
                    bool Idempotent) {
      return nlohmann::json{{"name", Name},
                            {"method", Method},
                            {"path", Path},
                            {"rank", "urgent"},
                            {"idempotent", Idempotent},
                            {"target_ms", 300},
                            {"timeout_ms", Timeout.count()}};
    };
    return nlohmann::json{{"service", "shop"},
                          {"pool_size", ServerCount},
                          {"floor", Floor},
                          {"kinds",
                           {Kind("read", "GET", "/shop/items/*", true),
                            Kind("buy", "POST", "/shop/orders", false)}}}
        .dump();
  }

  /// Proposes and accepts a file as an operator and the customer would.
  std::uint64_t publish(const std::string &Text) const {
    return valueFrom([&]() -> result<std::uint64_t> {
      log_client Log(Scenario.Platform);
      BOOST_LEAF_AUTO(File, readServiceFile("f", Text));
      BOOST_LEAF_AUTO(Before, fold(Log));
      BOOST_LEAF_CHECK(
          publishFiles(std::vector{std::move(File)}, Before, "test", Log));
      BOOST_LEAF_AUTO(Current, fold(Log));
      BOOST_LEAF_AUTO(Record, acceptProposal(pendingFor(Current, "shop").back(),
                                             Current, Customer));
      BOOST_LEAF_CHECK(Log.append(Record));
      return Record.Version;
    });
  }

  result<configuration_state> fold(log_client &Log) const {
    BOOST_LEAF_AUTO(Entries, Log.readAll());
    return foldRecords(Entries, std::vector{Customer.Public});
  }

  /// Waits until a condition holds; false after a long time.
  static bool eventually(const std::function<bool()> &Holds) {
    for (int Try = 0; Try < 600; ++Try) {
      if (Holds())
        return true;
      poll(nullptr, 0, 25);
    }
    return false;
  }

  void makeReady(const std::string &Text = serviceText()) {
    publish(Text);
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      REQUIRE(eventually([&] {
        return get(Index, "/endiverail/health").Status == 200 &&
               status(Index)["members"].size() == DaemonCount;
      }));
  }

  fetched_answer call(std::size_t Index, std::string_view Method,
                      std::string_view Target, std::string_view Body = "") {
    return handleFailure(
        [&] {
          return fetch(Method, Scenario.EntryHosts[Index].Address, Target, Body,
                       CallTimeout);
        },
        [](const failure &) { return fetched_answer{}; });
  }
  fetched_answer get(std::size_t Index, std::string_view Target) {
    return call(Index, "GET", Target);
  }

  nlohmann::json status(std::size_t Index) {
    auto Value = nlohmann::json::parse(get(Index, "/endiverail/status").Body,
                                       nullptr, false);
    return Value.is_object() ? Value : nlohmann::json{{"members", {}}};
  }

  std::uint64_t versionAt(std::size_t Index) {
    for (const auto &Entry : status(Index).value("in_force", nlohmann::json()))
      if (Entry["service"] == "shop")
        return Entry["version"];
    return 0;
  }

  /// A request whose bytes the test writes itself.
  std::string raw(std::size_t Index, const std::string &Bytes) const {
    raw_connection Caller = raw_connection::to(port(Index));
    Caller.send(Bytes);
    return Caller.readAnswer();
  }

  std::string request(const std::string &Method, const std::string &Target,
                      const std::string &Id,
                      const std::string &Key = "") const {
    return Method + " " + Target + " HTTP/1.1\r\n" +
           std::string(RequestIdHeader) + ": " + Id + "\r\n" +
           (Key.empty() ? "" : "Endiverail-Key: " + Key + "\r\n") +
           (Method == "POST" ? "Content-Length: 2\r\n\r\nok" : "\r\n");
  }

  std::uint16_t port(std::size_t Index) const {
    return splitEndpoint(Scenario.EntryHosts[Index].Address).second;
  }

  void order(const nlohmann::json &Order) const {
    auto Answer = valueOf(fetch("POST", Scenario.Platform, "/standin/order",
                                Order.dump(), CallTimeout));
    REQUIRE(Answer.Status == 200);
  }

  /// How often a POST with that identity ran.
  std::size_t runs(const std::string &Id) const {
    auto Answer =
        valueOf(fetch("POST", Scenario.Platform, "/standin/runs",
                      nlohmann::json::array({Id}).dump(), CallTimeout));
    return nlohmann::json::parse(Answer.Body).value(Id, 0);
  }

  nlohmann::json servers() const {
    auto Answer = valueOf(
        fetch("GET", Scenario.Platform, "/standin/servers", "", CallTimeout));
    return nlohmann::json::parse(Answer.Body)["servers"];
  }

  /// Key prefix that a proxy of the service honours, and its index.
  std::pair<std::string, std::size_t> keyPrefix() {
    auto Told = nlohmann::json::parse(
        get(0, "/endiverail/addresses?service=shop").Body);
    const auto &First = Told["addresses"][0];
    for (std::size_t Index = 0; Index < DaemonCount; ++Index)
      if (Scenario.EntryHosts[Index].Address == First["address"])
        return {First["key_prefix"], Index};
    return {};
  }

  bool sawEvent(std::size_t Index, const std::string &Kind) {
    auto Told = nlohmann::json::parse(get(Index, "/endiverail/timeline").Body);
    for (const auto &Event : Told["events"])
      if (Event["kind"] == Kind)
        return true;
    return false;
  }

  signing_key Customer = valueOf(signing_key::generate());
  scenario Scenario;
  std::unique_ptr<standin_process> Standin;
  std::vector<std::unique_ptr<proxy_daemon>> Daemons;
};

} // namespace endiverail::test
