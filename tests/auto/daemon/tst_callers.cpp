#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace endiverail;
using namespace endiverail::test;

namespace {

bool says(const std::string &Answer, const char *Status, const char *Outcome) {
  return Answer.starts_with("HTTP/1.1 " + std::string(Status)) &&
         Answer.find("Endiverail-Outcome: " + std::string(Outcome)) !=
             std::string::npos;
}

} // namespace

TEST_CASE_METHOD(fleet_fixture, "the contract with callers") {
  CHECK(says(raw(0, "GET /shop/items/1 HTTP/1.1\r\n\r\n"), "503", "not-run"));
  makeReady();

  SECTION("requests are answered through any proxy") {
    for (std::size_t Index = 0; Index < DaemonCount; ++Index) {
      std::string Id = "read-" + std::to_string(Index);
      std::string Answer =
          raw(Index, request("GET", "/shop/items/1?bytes=3000", Id));
      CHECK(says(Answer, "200", "done"));
      CHECK(Answer.ends_with("\r\n\r\n" + answerContent(Id, 0, 3000)));
    }
  }

  SECTION("what is not run is said so") {
    struct row {
      std::string Bytes;
      const char *Status;
    };
    const row Rows[]{
        {"GET /nobody HTTP/1.1\r\n\r\n", "404"},
        {"GET /shop/other HTTP/1.1\r\n\r\n", "404"},
        {"DELETE /shop/items/1 HTTP/1.1\r\n\r\n", "404"},
        {"GET /shop/items/1 HTTP/1.1\r\nEndiverail-Deadline-Ms: soon\r\n\r\n",
         "400"},
        {"GET /shop/items/1 HTTP/1.1\r\nEndiverail-Deadline-Ms: 0\r\n\r\n",
         "503"},
        {request("POST", "/shop/orders", "x", "no~key"), "400"},
        {"GET /endiverail/nothing HTTP/1.1\r\n\r\n", "404"},
        {"POST /endiverail/status HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
         "405"},
        {"POST /shop/orders HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: "
         "2\r\n\r\nab",
         "400"},
        {"BREW /shop/orders HTTP/1.1\r\n\r\n", "405"},
    };
    for (const row &Row : Rows) {
      INFO(Row.Bytes);
      std::string Answer = raw(1, Row.Bytes);
      INFO(Answer);
      CHECK(says(Answer, Row.Status, "not-run"));
    }
  }

  SECTION("addresses lie in two data centres and name servers once") {
    std::set<std::string> DataCentres;
    std::size_t Servers = 0;
    auto Told = nlohmann::json::parse(
        get(2, "/endiverail/addresses?service=shop").Body);
    for (const auto &Entry : Told["addresses"]) {
      DataCentres.insert(Entry["data_centre"]);
      Servers += Entry["servers"].get<std::size_t>();
    }
    CHECK(DataCentres.size() >= 2);
    CHECK(Servers == ServerCount);
    CHECK(Told["lifetime_ms"] == 500);
    CHECK(get(0, "/endiverail/addresses?service=nobody").Status == 404);
  }

  SECTION("a key runs once, through whichever proxies it is sent") {
    std::string Key = keyPrefix().first + "~1";
    std::vector<std::thread> Callers;
    std::atomic<int> Done = 0;
    for (std::size_t Count = 0; Count < 9; ++Count)
      Callers.emplace_back([&, Count] {
        std::string Answer = raw(Count % DaemonCount,
                                 request("POST", "/shop/orders", "once", Key));
        Done += says(Answer, "200", "done");
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    CHECK(Done >= 1);
    CHECK(runs("once") == 1);
    CHECK(says(raw(1, request("POST", "/shop/orders", "once", Key)), "200",
               "done"));
    CHECK(runs("once") == 1);
  }

  SECTION("a key whose issuer is gone runs nothing") {
    auto [Prefix, Issuer] = keyPrefix();
    Daemons[Issuer].reset();
    std::size_t Other = (Issuer + 1) % DaemonCount;
    std::string Answer =
        raw(Other, request("POST", "/shop/orders", "orphan", Prefix + "~1"));
    INFO(Answer);
    CHECK(Answer.find("Endiverail-Outcome: done") == std::string::npos);
    CHECK(runs("orphan") == 0);
  }

  SECTION("operators' pages answer") {
    CHECK(get(0, "/endiverail/metrics").Body.find("endiverail_members 3") !=
          std::string::npos);
    CHECK(status(0)["ready"] == true);
    CHECK(sawEvent(0, "version-in-force"));
  }
}

TEST_CASE_METHOD(fleet_fixture, "odd callers harm nobody else") {
  makeReady();
  std::vector<raw_connection> Odd;
  for (int Count = 0; Count < 20; ++Count) {
    Odd.push_back(raw_connection::to(port(0)));
    Odd.back().send(
        Count % 2 ? "GET /shop/items/1 HTT"
                  : request("GET", "/shop/items/1?bytes=9000000", "stalled"));
    if (Count % 4 == 0)
      Odd.back().endSending();
  }
  std::string Answer = raw(0, request("GET", "/shop/items/1?bytes=100", "id"));
  CHECK(Answer.ends_with("\r\n\r\n" + answerContent("id", 0, 100)));
}

TEST_CASE_METHOD(fleet_fixture, "a graceful end hands the keys over") {
  makeReady();
  auto [Prefix, Issuer] = keyPrefix();
  auto Send = [&, Prefix = Prefix](std::size_t Index, const char *Number) {
    return raw(Index,
               request("POST", "/shop/orders", Number, Prefix + "~" + Number));
  };
  std::size_t Second = (Issuer + 1) % DaemonCount;
  std::size_t Third = (Issuer + 2) % DaemonCount;
  CHECK(says(Send(Issuer, "before"), "200", "done"));

  Daemons[Issuer]->drain();
  Daemons[Issuer].reset();
  CHECK(says(Send(Second, "before"), "200", "done"));
  CHECK(says(Send(Third, "before"), "200", "done"));
  CHECK(says(Send(Second, "between"), "200", "done"));
  CHECK(says(Send(Third, "between"), "200", "done"));

  // What was inherited is handed on.
  Daemons[Second]->drain();
  Daemons[Second].reset();
  for (const char *Number : {"before", "between", "after"}) {
    INFO(Number);
    CHECK(says(Send(Third, Number), "200", "done"));
    CHECK(runs(Number) == 1);
  }
}
