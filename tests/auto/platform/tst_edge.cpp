#include "daemon/store_daemon.h"
#include "failure_check.h"
#include "platform/edge.h"
#include "store_standin.h"
#include "test_ports.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const std::string Configuration = R"({"version":"00000007",
  "limits":{"header-bytes":2000,"body-bytes":100000,"header-timeout-s":3,
            "idle-timeout-s":15},
  "listeners":[{"host":"shop.example","rules":[
    {"name":"r1","kind":"unsafe","latency-target-s":2,"priority":1,
     "match":{"path-prefix":"/orders/"},
     "action":{"service":"orders","timeout-s":4,"attempts":2}}]}],
  "clusters":[{"name":"orders"}]})";

/// Answers each request as a target does, with the request's own name.
class target_standin {
public:
  target_standin()
      : Server([](raw_connection Caller, std::size_t) {
          std::string Head = Caller.readUntil("\r\n\r\n");
          std::size_t At = Head.find("Endiverail-Attempt-Identifier: ") + 31;
          std::string Name = Head.substr(At, Head.find("\r\n", At) - At);
          std::string Body = "for " + Name;
          if (Head.find("/orders/silent") != std::string::npos) {
            // Until the caller closes.
            Caller.readUntil("no such bytes");
            return;
          }
          Caller.send("HTTP/1.1 200 OK\r\nEndiverail-Attempt-Identifier: " +
                      Name + "\r\nEndiverail-Response-Signature: s\r\n" +
                      "Content-Length: " + std::to_string(Body.size()) +
                      "\r\n\r\n" + Body);
        }) {}

  std::string entry() const {
    return nlohmann::json{{"service", "orders"},
                          {"address", Server.endpoint()},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", "ready"},
                          {"cold-remaining-s", 0},
                          {"sequence", 1},
                          {"born", 1}}
        .dump();
  }

private:
  raw_server Server;
};

/// Daemons on addresses of loopback; all have the same ports, as on a day.
class platform_fixture {
public:
  using daemon = store_daemon<platform::edge>;

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
                    int DeadlineMilliseconds = 3'000) const {
    return call(Host, CallerPort,
                "POST " + Path +
                    " HTTP/1.1\r\nHost: shop.example\r\n"
                    "Endiverail-Attempt-Identifier: id-1\r\n"
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
  std::optional<store_standin> Store{
      std::in_place, std::map<std::string, store_standin::topic_records>{
                         {"keyed.op", {{"config", Configuration}}},
                         {"keyed.servers", {{"i-1", Target.entry()}}}}};
  std::uint16_t CallerPort = freePort();
  std::uint16_t ReadyPort = freePort();
  std::uint16_t DirectoryPort = freePort();
  std::uint16_t PeerPort = freePort();
  std::string First = "127.0.0.1";
  std::string Second = "127.0.0.2";
};

} // namespace

TEST_CASE_METHOD(platform_fixture,
                 "a daemon serves callers by what the store holds") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  std::string Answer = order(First, "/orders/1");
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(Answer.ends_with("\r\n\r\nfor id-1"));
  CHECK(order(First, "/unknown/1").starts_with("HTTP/1.1 404"));
  // The configuration allows heads of 2,000 bytes, the daemon by itself more.
  CHECK(eventually([&] {
    return order(First, "/orders/" + std::string(3'000, 'x'))
        .starts_with("HTTP/1.1 431");
  }));
  std::string Addresses =
      call(First, DirectoryPort,
           "GET /-/resolve?name=shop.example&region=r&zone=z HTTP/1.1");
  CHECK(Addresses.find(First + ":" + std::to_string(CallerPort)) !=
        std::string::npos);
}

TEST_CASE_METHOD(
    platform_fixture,
    "a daemon that can't reach the store serves by a peer's copy") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  std::string Nowhere = First + ":" + std::to_string(freePort());
  auto Other = start(Second, Nowhere, First);
  REQUIRE(eventually([&] { return isReady(Second); }));
  CHECK(order(Second, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "odd entries among those of the targets end "
                                   "no daemon") {
  std::string Deep = std::string(100'000, '[');
  auto Odd = [&](const std::string &Name, const nlohmann::json &Value) {
    auto Entry = nlohmann::json::parse(Target.entry());
    Entry[Name] = Value;
    return Entry.dump();
  };
  store_standin::topic_records Entries{
      {"a-deep", Deep},
      {"a-deep-and-whole", Deep + std::string(Deep.size(), ']')},
      {"a-field-deep", R"({"later":)" + Deep},
      {"a-number", R"({"slots":1e999})"},
      {"a-port", Odd("address", "127.0.0.1:99999")},
      {"a-sequence", Odd("sequence", 1e300)},
      {"a\r\nX-Injected: 1", Target.entry()},
      {"i-1", Target.entry()},
      {"z-nothing", ""},
      {"z-text", "\xff\xfe"}};
  store_standin OddStore({{"keyed.op", {{"config", Configuration}}},
                          {"keyed.servers", Entries},
                          {"keyed.endiverail-members",
                           {{"odd", "127.0.0.1:99999"}, {"odder", Deep}}}});
  auto Daemon = start(First, OddStore.endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  for (int Order = 0; Order < 10; ++Order)
    CHECK(order(First, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "a daemon without a configuration promises "
                                   "that nothing has run") {
  std::string Nowhere = First + ":" + std::to_string(freePort());
  auto Daemon = start(First, Nowhere, First);
  REQUIRE(eventually(
      [&] { return order(First, "/orders/1").starts_with("HTTP/1.1 503"); }));
  CHECK_FALSE(isReady(First));
}

TEST_CASE_METHOD(platform_fixture, "changed settings are taken over while "
                                   "callers are served") {
  struct row {
    std::string What;
    nlohmann::json Change;
    settings_change Result;
  };
  auto Row = GENERATE(
      row{"nothing", nlohmann::json::object(), {false, false}},
      row{"what the fleet may retry",
          {{"retries", {{"share_of_requests", 0.1}, {"extra", 5}}}},
          {true, false}},
      row{"the time for the end", {{"grace_s", 1.5}}, {true, false}},
      row{"the store's address", {{"store", "127.0.0.9:1"}}, {false, true}},
      row{"several",
          {{"grace_s", 1.5}, {"seeds", {"127.0.0.9:1"}}},
          {true, true}});
  INFO(Row.What);
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  nlohmann::json Json = settingsJson(First, Store->endpoint(), First);
  Json.update(Row.Change);
  CHECK(Daemon->reload(settingsOf(Json)) == Row.Result);
  CHECK(isReady(First));
  CHECK(order(First, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "a request that may outlast a planned end "
                                   "is refused before it is passed on") {
  auto Daemon = startWithShortEnd();
  CHECK(order(First, "/orders/1").starts_with("HTTP/1.1 200"));
  std::thread End([&] { Daemon->drain(); });
  poll(nullptr, 0, 100);
  // Callers may hold the address still.
  CHECK(order(First, "/orders/2").starts_with("HTTP/1.1 200"));
  poll(nullptr, 0, 300);
  std::string Late = order(First, "/orders/3");
  CHECK(Late.starts_with("HTTP/1.1 503"));
  CHECK(Late.find("Retry-After: 0.0") != std::string::npos);
  // What has too little time itself is answered before the end.
  CHECK_THAT(order(First, "/orders/4", 1'000),
             Catch::StartsWith("HTTP/1.1 200"));
  End.join();
}

TEST_CASE_METHOD(platform_fixture, "what was passed on before a planned end "
                                   "gets an answer") {
  auto Daemon = startWithShortEnd();
  std::string Answer;
  std::thread Caller([&] { Answer = order(First, "/orders/silent"); });
  poll(nullptr, 0, 50);
  Daemon->drain();
  Daemon.reset();
  Caller.join();
  CHECK(Answer.starts_with("HTTP/1.1 504"));
}
