#pragma once

#include "daemon/store_daemon.h"
#include "failure_check.h"
#include "platform/edge.h"
#include "store_standin.h"
#include "test_ports.h"

#include <catch2/catch.hpp>
#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace endiverail::test {

inline const std::string OrdersConfiguration = R"({"version":"00000007",
  "limits":{"header-bytes":2000,"body-bytes":100000,"header-timeout-s":3,
            "idle-timeout-s":15},
  "listeners":[{"host":"shop.example","rules":[
    {"name":"r1","kind":"unsafe","latency-target-s":2,"priority":1,
     "match":{"path-prefix":"/orders/"},
     "action":{"service":"orders","timeout-s":4,"attempts":2}}]}],
  "clusters":[{"name":"orders"}]})";

/// The same service, whose requests may be repeated.
inline const std::string LookupsConfiguration = R"({"version":"00000007",
  "limits":{"header-bytes":2000,"body-bytes":100000,"header-timeout-s":3,
            "idle-timeout-s":15},
  "listeners":[{"host":"shop.example","rules":[
    {"name":"r1","kind":"safe","latency-target-s":2,"priority":1,
     "match":{"path-prefix":"/orders/"},
     "action":{"service":"orders","timeout-s":4,"attempts":2}}]}],
  "clusters":[{"name":"orders"}]})";

inline std::string pathOfVersion(std::uint64_t Version) {
  return "/v" + std::to_string(Version) + "/";
}

/// The same configuration with another version, whose only route tells it.
inline std::string configurationOfVersion(std::uint64_t Version) {
  std::string Text = OrdersConfiguration;
  Text.replace(Text.find("00000007"), 8, fmt::format("{:08x}", Version));
  Text.replace(Text.find("/orders/"), 8, pathOfVersion(Version));
  return Text;
}

/// A request as a target reads it.
struct target_request {
  std::string Head;
  /// The client's name for it.
  std::string Id;
  /// Requests that came on the connection before it.
  std::size_t Earlier = 0;
};

/// A target on loopback. The test writes its answers.
class target_standin {
public:
  using answer = std::function<void(raw_connection &, const target_request &)>;

  explicit target_standin(answer Answer)
      : Answer(std::move(Answer)),
        Server([this](raw_connection Caller, std::size_t) { serve(Caller); }) {}

  static std::string signedHead(const std::string &Id,
                                const std::string &Status) {
    return "HTTP/1.1 " + Status + "\r\nEndiverail-Attempt-Identifier: " + Id +
           "\r\nEndiverail-Response-Signature: s-" + Id + "\r\n";
  }
  static std::string wholeAnswer(const std::string &Id,
                                 const std::string &Status = "200 OK") {
    std::string Body = "for " + Id;
    return signedHead(Id, Status) +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  /// Answers with the request's own name, but for those to /orders/silent.
  static void answerWhole(raw_connection &Caller,
                          const target_request &Request) {
    if (Request.Head.find("/orders/silent") == std::string::npos)
      Caller.send(wholeAnswer(Request.Id));
  }

  std::string entry(int Slots = 6) const {
    return nlohmann::json{{"service", "orders"},
                          {"address", Server.endpoint()},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", Slots},
                          {"state", "ready"},
                          {"cold-remaining-s", 0},
                          {"sequence", 1},
                          {"born", 1}}
        .dump();
  }

private:
  void serve(raw_connection &Caller) {
    // The connection class throws when nothing comes for a long time.
    try {
      for (std::size_t Earlier = 0;; ++Earlier) {
        std::string Head = Caller.readUntil("\r\n\r\n");
        if (Head.empty())
          return;
        Answer(Caller, {Head, idOf(Head), Earlier});
      }
    } catch (const std::exception &) {
      return;
    }
  }

  static std::string idOf(const std::string &Head) {
    constexpr std::string_view Name = "Endiverail-Attempt-Identifier: ";
    std::size_t At = Head.find(Name);
    if (At == std::string::npos)
      return "";
    At += Name.size();
    return Head.substr(At, Head.find("\r\n", At) - At);
  }

  answer Answer;
  raw_server Server;
};

/// Daemons on addresses of loopback; all have the same ports, as on a day.
class platform_fixture {
public:
  using daemon = store_daemon<platform::edge>;

  explicit platform_fixture(
      target_standin::answer Answer = target_standin::answerWhole,
      const std::string &Configuration = OrdersConfiguration)
      : Target(std::move(Answer)),
        Store(std::in_place,
              std::map<std::string, store_standin::topic_records>{
                  {"keyed.op", {{"config", Configuration}}},
                  {"keyed.servers", {{"i-1", Target.entry()}}}}) {}

  /// A service with two targets.
  platform_fixture(target_standin::answer Answer,
                   target_standin::answer OtherAnswer,
                   const std::string &Configuration)
      : Target(std::move(Answer)),
        OtherTarget(std::in_place, std::move(OtherAnswer)),
        Store(std::in_place,
              std::map<std::string, store_standin::topic_records>{
                  {"keyed.op", {{"config", Configuration}}},
                  {"keyed.servers",
                   {{"i-1", Target.entry()}, {"i-2", OtherTarget->entry()}}}}) {
  }

  std::unique_ptr<daemon> start(const std::string &Host,
                                const std::string &StoreAddress,
                                const std::string &Seed) const {
    return valueFrom([&]() -> result<std::unique_ptr<daemon>> {
      return daemon::create(settingsOf(settingsJson(Host, StoreAddress, Seed)));
    });
  }

  static store_daemon_settings settingsOf(const nlohmann::json &Json) {
    return valueFrom(
        [&] { return readStoreDaemonSettings("settings", Json.dump()); });
  }

  nlohmann::json settingsJson(const std::string &Host,
                              const std::string &StoreAddress,
                              const std::string &Seed) const {
    auto At = [&](std::uint16_t Port) {
      return Host + ":" + std::to_string(Port);
    };
    return nlohmann::json{
        {"id", "host-" + Host},
        {"data_centre", "z"},
        {"caller_address", At(CallerPort)},
        {"ready_address", At(ReadyPort)},
        {"directory_address", At(DirectoryPort)},
        {"peer_address", At(PeerPort)},
        {"store", StoreAddress},
        {"seeds", {Seed + ":1"}},
        {"grace_s", 2},
        {"retries", {{"share_of_requests", 0.2}, {"extra", 62}}},
        {"fleet_secret", "a secret of the fleet"}};
  }

  /// The answer to a request whose bytes the test writes; empty when nothing
  /// listens.
  static std::string call(const std::string &Host, std::uint16_t Port,
                          const std::string &Head) {
    try {
      raw_connection Caller = raw_connection::to(Port, 0, Host);
      Caller.send(Head + "\r\n\r\n");
      return Caller.readAnswer();
    } catch (const std::exception &) {
      return "";
    }
  }

  std::string order(const std::string &Host, const std::string &Path,
                    int DeadlineMilliseconds = 3'000,
                    const std::string &Id = "id-1") const {
    return call(Host, CallerPort,
                "POST " + Path +
                    " HTTP/1.1\r\nHost: shop.example\r\n"
                    "Endiverail-Attempt-Identifier: " +
                    Id +
                    "\r\n"
                    "Endiverail-Deadline-Milliseconds: " +
                    std::to_string(DeadlineMilliseconds) +
                    "\r\nContent-Length: 0");
  }

  /// A daemon with 2.2 s for its end, whose callers keep addresses for 0.1 s.
  std::unique_ptr<daemon> startWithShortEnd() const {
    nlohmann::json Json = settingsJson(First, Store->endpoint(), First);
    Json["address_lifetime_ms"] = 100;
    Json["grace_s"] = 3;
    auto Started = valueFrom([&]() -> result<std::unique_ptr<daemon>> {
      return daemon::create(settingsOf(Json));
    });
    REQUIRE(eventually([&] { return isReady(First); }));
    return Started;
  }

  /// Whether a version of configurationOfVersion() is in force at a daemon.
  bool isInForce(const std::string &Host, std::uint64_t Version) const {
    return order(Host, pathOfVersion(Version) + "x")
        .starts_with("HTTP/1.1 200");
  }

  bool isReady(const std::string &Host) const {
    return call(Host, ReadyPort, "GET /-/readiness HTTP/1.1")
        .starts_with("HTTP/1.1 200");
  }

  static bool eventually(const std::function<bool()> &Holds) {
    for (int Try = 0; Try < 400; ++Try) {
      if (Holds())
        return true;
      poll(nullptr, 0, 25);
    }
    return false;
  }

  target_standin Target;
  std::optional<target_standin> OtherTarget;
  std::optional<store_standin> Store;
  std::uint16_t CallerPort = freePort();
  std::uint16_t ReadyPort = freePort();
  std::uint16_t DirectoryPort = freePort();
  std::uint16_t PeerPort = freePort();
  std::string First = "127.0.0.1";
  std::string Second = "127.0.0.2";
};

} // namespace endiverail::test
