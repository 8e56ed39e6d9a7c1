#include "event_capture.h"
#include "platform_fixture.h"

#include <mutex>
#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// Tenants of a configuration: "acme" and "beta", each with the given keys.
std::string configurationWith(int Version, const std::string &AcmeKeys,
                              const std::string &BetaKeys) {
  return fmt::format(
      R"({{"version":"{:08x}",
  "limits":{{"header-bytes":2000,"body-bytes":100000,"header-timeout-s":3,
            "idle-timeout-s":15}},
  "tenants":[{{"name":"acme","credentials":[{}],"priority":1}},
             {{"name":"beta","credentials":[{}],"priority":0}}],
  "listeners":[{{"host":"shop.example","rules":[
    {{"name":"r1","kind":"unsafe","latency-target-s":2,"priority":1,
     "match":{{"path-prefix":"/orders/"}},
     "action":{{"service":"orders","timeout-s":4,"attempts":2}}}},
    {{"name":"r2","kind":"safe","latency-target-s":2,"priority":1,
     "public":true,"match":{{"path-prefix":"/open/"}},
     "action":{{"service":"orders","timeout-s":4,"attempts":2}}}}]}}],
  "clusters":[{{"name":"orders"}}]}})",
      Version, AcmeKeys, BetaKeys);
}

/// Daemons whose configuration has tenants; keeps what the target reads.
class access_key_fixture : public platform_fixture {
public:
  access_key_fixture()
      : platform_fixture(
            [this](raw_connection &Caller, const target_request &Request) {
              {
                std::scoped_lock Lock(Mutex);
                Heads.push_back(Request.Head);
              }
              Caller.send(target_standin::wholeAnswer(Request.Id));
            },
            configurationWith(7, R"("acme-key","old-key")", R"("beta-key")")) {}

  static std::string head(const std::string &Path, const std::string &Fields) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: shop.example\r\n"
           "Endiverail-Attempt-Identifier: id-1\r\n"
           "Endiverail-Deadline-Milliseconds: 3000\r\n" +
           Fields + "Content-Length: 0";
  }

  std::string send(const std::string &Path, const std::string &Fields) const {
    return call(First, CallerPort, head(Path, Fields));
  }

  std::vector<std::string> takeHeads() {
    std::scoped_lock Lock(Mutex);
    return std::exchange(Heads, {});
  }

private:
  std::mutex Mutex;
  std::vector<std::string> Heads;
};

std::size_t countOf(const std::string &Part, const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE_METHOD(access_key_fixture,
                 "a target is told the organisation and never the key") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  struct row {
    const char *What;
    const char *Path;
    const char *Fields;
    const char *Organisation;
  };
  const row Rows[]{
      {"a key", "/orders/1", "Endiverail-Key: acme-key\r\n", "acme"},
      {"a name that the caller made up", "/orders/1",
       "Endiverail-Tenant-Name: beta\r\nEndiverail-Key: acme-key\r\n"
       "endiverail-tenant-name: beta\r\n",
       "acme"},
      {"a name that is only for one connection", "/orders/1",
       "Connection: Endiverail-Tenant-Name, Endiverail-Key\r\n"
       "Endiverail-Key: acme-key\r\n",
       "acme"},
      {"another organisation, in another case", "/orders/1",
       "ENDIVERAIL-KEY:   beta-key\r\n", "beta"},
      {"a public route without a key", "/open/1", "", nullptr},
      {"a public route with a name made up", "/open/1",
       "Endiverail-Tenant-Name: beta\r\n", nullptr},
      {"a public route with a key", "/open/1", "Endiverail-Key: beta-key\r\n",
       "beta"},
      {"a public route with a key that nobody holds", "/open/1",
       "Endiverail-Key: no-key\r\n", nullptr},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(send(Row.Path, Row.Fields).starts_with("HTTP/1.1 200"));
    auto Heads = takeHeads();
    REQUIRE(Heads.size() == 1);
    CHECK(countOf("ndiverail-Tenant-Name: ", Heads[0]) ==
          (Row.Organisation ? 1 : 0));
    if (Row.Organisation)
      CHECK(Heads[0].find(std::string("Endiverail-Tenant-Name: ") +
                          Row.Organisation + "\r\n") != std::string::npos);
    CHECK(Heads[0].find("beta-key") == std::string::npos);
    CHECK(Heads[0].find("acme-key") == std::string::npos);
    CHECK(Heads[0].find("no-key") == std::string::npos);
  }
}

TEST_CASE_METHOD(access_key_fixture,
                 "no target sees a request without a known key") {
  event_capture Events;
  {
    auto Daemon = start(First, Store->endpoint(), First);
    REQUIRE(eventually([&] { return isReady(First); }));
    for (const char *Fields :
         {"", "Endiverail-Key: \r\n", "Endiverail-Key: no-such-key\r\n",
          "Endiverail-Key: acme-ke\r\n", "Endiverail-Key: acme-key x\r\n",
          "Endiverail-Key: acme-key\r\nEndiverail-Key: beta-key\r\n",
          "Endiverail-Tenant-Name: acme\r\n"}) {
      INFO(Fields);
      std::string Answer = send("/orders/1", Fields);
      CHECK(Answer.starts_with("HTTP/1.1 401"));
      for (const char *Part : {"acme-ke", "beta-key", "no-such-key"})
        CHECK(Answer.find(Part) == std::string::npos);
    }
    CHECK(send("/unknown/1", "Endiverail-Key: acme-key\r\n")
              .starts_with("HTTP/1.1 404"));
    CHECK(takeHeads().empty());
  }
  auto Lines = Events.lines("access_key_unknown");
  CHECK(Lines.size() == 7);
  for (const auto &Line : Lines) {
    CHECK(Line["request"] == "id-1");
    CHECK(Line.dump().find("no-such-key") == std::string::npos);
  }
}

TEST_CASE_METHOD(access_key_fixture, "a removed key is refused and an added "
                                     "one served on a kept connection") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  raw_connection Kept = raw_connection::to(CallerPort, 0, First);
  auto Ask = [&](const std::string &Key) {
    Kept.send(head("/orders/1", "Endiverail-Key: " + Key + "\r\n") +
              "\r\n\r\n");
    return Kept.readAnswer().substr(0, 12);
  };
  CHECK(Ask("old-key") == "HTTP/1.1 200");
  CHECK(Ask("new-key") == "HTTP/1.1 401");
  Store->append(
      "keyed.op", "config",
      configurationWith(8, R"("acme-key","new-key")", R"("beta-key")"));
  CHECK(eventually([&] { return Ask("new-key") == "HTTP/1.1 200"; }));
  CHECK(Ask("old-key") == "HTTP/1.1 401");
  CHECK(Ask("acme-key") == "HTTP/1.1 200");
  // One key in two organisations: the version before it stays in force.
  Store->append("keyed.op", "config",
                configurationWith(9, R"("beta-key")", R"("beta-key")"));
  Store->append("keyed.op", "config",
                configurationWith(10, R"("acme-key")", R"("last-key")"));
  CHECK(eventually([&] { return Ask("last-key") == "HTTP/1.1 200"; }));
  CHECK(Ask("beta-key") == "HTTP/1.1 401");
}

TEST_CASE_METHOD(access_key_fixture, "a daemon without a configuration refuses "
                                     "no key as unknown") {
  auto Daemon = start(First, First + ":" + std::to_string(freePort()), First);
  REQUIRE(eventually([&] {
    return send("/orders/1", "Endiverail-Key: acme-key\r\n")
        .starts_with("HTTP/1.1 503");
  }));
  CHECK(send("/orders/1", "").starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(platform_fixture, "without organisations, fields of that name "
                                   "travel as any other") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  CHECK(call(First, CallerPort,
             "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
             "Endiverail-Attempt-Identifier: id-1\r\n"
             "Endiverail-Key: any\r\nContent-Length: 0")
            .starts_with("HTTP/1.1 200"));
}
