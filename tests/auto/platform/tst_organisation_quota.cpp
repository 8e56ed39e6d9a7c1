// The quota of an organisation over two daemons.

#include "platform_fixture.h"

#include <chrono>
#include <cmath>
#include <memory>
#include <string>

using namespace endiverail;
using namespace endiverail::test;

namespace {

constexpr double RatePerSecond = 4;
constexpr double Burst = 4;
constexpr double WindowSeconds = 5;
constexpr double Overage = 0.1;
constexpr double Slack = 6;

std::string quotaConfiguration(int Version, const std::string &AcmeKeys) {
  return fmt::format(
      R"({{"version":"{:08x}",
  "limits":{{"header-bytes":2000,"body-bytes":100000,"header-timeout-s":3,
            "idle-timeout-s":15}},
  "tenants":[{{"name":"acme","credentials":[{}],"priority":1,
              "rate-per-s":{},"burst":{}}},
             {{"name":"beta","credentials":["beta-key"],"priority":1}}],
  "listeners":[{{"host":"shop.example","rules":[
    {{"name":"r1","kind":"unsafe","latency-target-s":2,"priority":1,
     "match":{{"path-prefix":"/orders/"}},
     "action":{{"service":"orders","timeout-s":4,"attempts":2}}}}]}}],
  "clusters":[{{"name":"orders"}}]}})",
      Version, AcmeKeys, RatePerSecond, Burst);
}

/// Two daemons that know each other.
class two_daemons : public platform_fixture {
public:
  two_daemons()
      : platform_fixture(target_standin::answerWhole,
                         quotaConfiguration(7, R"("acme-key","old-key")")),
        FirstDaemon(startWithQuotas(First)),
        SecondDaemon(startWithQuotas(Second)) {
    REQUIRE(eventually([&] { return isReady(First) && isReady(Second); }));
  }

  std::unique_ptr<daemon> startWithQuotas(const std::string &Host) const {
    nlohmann::json Json = settingsJson(Host, Store->endpoint(), First);
    Json["quotas"] = {
        {"window_s", WindowSeconds}, {"overage", Overage}, {"slack", Slack}};
    return valueFrom([&]() -> result<std::unique_ptr<daemon>> {
      return daemon::create(settingsOf(Json));
    });
  }

  static std::string head(const std::string &Key) {
    return "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
           "Endiverail-Attempt-Identifier: id-1\r\n"
           "Endiverail-Deadline-Milliseconds: 3000\r\nEndiverail-Key: " +
           Key + "\r\nContent-Length: 0";
  }

  std::string ask(const std::string &Host, const std::string &Key) const {
    return call(Host, CallerPort, head(Key));
  }

  std::unique_ptr<daemon> FirstDaemon;
  std::unique_ptr<daemon> SecondDaemon;
};

} // namespace

TEST_CASE_METHOD(two_daemons, "an organisation that sends many times its quota "
                              "through two daemons is held to it by both "
                              "together, and another one is served") {
  constexpr int Rounds = 500;
  int Served = 0;
  int OthersServed = 0;
  int OthersAsked = 0;
  auto Began = steadyNow();
  for (int Round = 0; Round < Rounds; ++Round) {
    for (const std::string &Host : {First, Second}) {
      std::string Answer = ask(Host, "acme-key");
      bool Passed = Answer.starts_with("HTTP/1.1 200");
      Served += Passed ? 1 : 0;
      if (!Passed) {
        INFO(Answer);
        CHECK(Answer.starts_with("HTTP/1.1 429"));
        CHECK(Answer.find("Retry-After: ") != std::string::npos);
      }
    }
    if (Round % 50 == 0) {
      ++OthersAsked;
      OthersServed += ask(Second, "beta-key").starts_with("HTTP/1.1 200");
    }
  }
  double Seconds = std::chrono::duration<double>(steadyNow() - Began).count();
  // The whole time is covered by this many windows.
  double Windows = std::ceil(Seconds / WindowSeconds);
  INFO(Seconds << " s");
  CHECK(Served >= 2);
  CHECK(Served <=
        Windows *
            ((RatePerSecond * WindowSeconds + Burst) * (1 + Overage) + Slack));
  CHECK(OthersServed == OthersAsked);
}

TEST_CASE_METHOD(two_daemons, "a removed key is refused on connections that "
                              "were kept to both daemons") {
  raw_connection Kept[]{raw_connection::to(CallerPort, 0, First),
                        raw_connection::to(CallerPort, 0, Second)};
  auto Ask = [](raw_connection &Connection, const std::string &Key) {
    Connection.send(head(Key) + "\r\n\r\n");
    return Connection.readAnswer().substr(0, 12);
  };
  for (raw_connection &Each : Kept)
    CHECK(Ask(Each, "old-key") == "HTTP/1.1 200");
  Store->append("keyed.op", "config", quotaConfiguration(8, R"("acme-key")"));
  for (raw_connection &Each : Kept) {
    CHECK(eventually([&] { return Ask(Each, "old-key") == "HTTP/1.1 401"; }));
    CHECK(Ask(Each, "beta-key") == "HTTP/1.1 200");
  }
}
