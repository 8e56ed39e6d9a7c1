#include "event_capture.h"
#include "traffic_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <ranges>
#include <set>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// Backend servers that announce in their answers that they are leaving.
class leaving_fixture : public shared_traffic_fixture {
public:
  using shared_traffic_fixture::shared_traffic_fixture;

  /// Publishes the latest version with other backend servers.
  void publishServers(
      const std::function<void(std::vector<backend_server> &)> &Change) {
    auto Version = std::make_shared<fleet_version>(*Versions.load());
    Version->Number = ++VersionNumber;
    Change(Version->View.Servers);
    Version->Owners.clear();
    Versions.store(Version);
    deliver(version_changed{std::move(Version)});
  }

  void restart(const std::string &Server, const std::string &Instance,
               std::int64_t Started) {
    publishServers([&](std::vector<backend_server> &Servers) {
      auto Found = std::ranges::find(Servers, Server, &backend_server::Address);
      Found->Instance = Instance;
      Found->Started = Started;
    });
  }

  void answerLeaving(attempt_id Id, int Status = 200) {
    transport().respond(Id, Status, "x", {{"Endiverail-Leaving", "true"}});
  }

  /// The server of a request that is answered by it. The server announces that
  /// it is leaving.
  std::string letOneLeave(int Status = 200) {
    send("POST", "/s/1");
    REQUIRE(attempts().size() == 1);
    started_attempt Attempt = attempts().begin()->second;
    answerLeaving(Attempt.Id, Status);
    REQUIRE(attempts().empty());
    return Attempt.Server;
  }

  /// The servers to which requests of the next seconds are sent.
  std::set<std::string> serversUsedLater() {
    std::set<std::string> Used;
    for (int Count = 0; Count < 300; ++Count) {
      send(Count % 2 == 0 ? "GET" : "POST", "/s/1");
      for (started_attempt Each :
           std::vector(std::views::values(attempts()).begin(),
                       std::views::values(attempts()).end())) {
        Used.insert(Each.Server);
        if (transport().connect(Each.Id))
          transport().respond(Each.Id, 200, "x");
      }
      advance(milliseconds(20));
    }
    return Used;
  }
};

class one_server_fixture : public leaving_fixture {
public:
  one_server_fixture() : leaving_fixture(1) {}
};

class two_server_fixture : public leaving_fixture {
public:
  two_server_fixture() : leaving_fixture(2) {}
};

} // namespace

TEST_CASE_METHOD(leaving_fixture, "a server that has announced that it is "
                                  "leaving gets no requests while the list "
                                  "still shows it as live") {
  int Status = GENERATE(200, 404, 500, 503);
  std::string Left = letOneLeave(Status);
  INFO(Left << " answered " << Status);
  SECTION("in the same version") {}
  SECTION("in a newer version") {
    publishServers([](std::vector<backend_server> &) {});
  }
  SECTION("after its registration has lapsed and returned") {
    std::vector<backend_server> Before = Versions.load()->View.Servers;
    publishServers([&](std::vector<backend_server> &Servers) {
      std::erase_if(Servers, [&](const backend_server &Each) {
        return Each.Address == Left;
      });
    });
    publishServers(
        [&](std::vector<backend_server> &Servers) { Servers = Before; });
  }
  std::set<std::string> Used = serversUsedLater();
  CHECK_FALSE(Used.contains(Left));
  CHECK(Used.size() == 2);
}

TEST_CASE_METHOD(leaving_fixture, "a new process at the address of a server "
                                  "that has left gets requests") {
  std::string Left = letOneLeave();
  SECTION("with another instance") { restart(Left, "i-2", 2); }
  SECTION("with the same instance, started later") { restart(Left, "", 2); }
  CHECK(serversUsedLater().contains(Left));
}

TEST_CASE_METHOD(one_server_fixture,
                 "the late answer of a server that has left does not take its "
                 "successor at the address out of use") {
  send("POST", "/s/1");
  attempt_id Id = attempts().begin()->first;
  SECTION("with another instance") { restart("a", "i-2", 2); }
  SECTION("with the same instance, started later") { restart("a", "", 2); }
  answerLeaving(Id);
  CHECK(serversUsedLater().contains("a"));
}

TEST_CASE_METHOD(two_server_fixture,
                 "a request whose connection is being established is not sent "
                 "to a server that has announced that it is leaving") {
  std::vector<std::uint64_t> Callers;
  for (int Count = 0; Count < 3; ++Count)
    Callers.push_back(send("POST", "/s/1"));
  REQUIRE(attempts().size() == 3);
  std::vector<started_attempt> Started;
  std::ranges::copy(attempts() | std::views::values,
                    std::back_inserter(Started));
  // Of three requests, two are assigned to the same server.
  std::ranges::sort(Started, {}, &started_attempt::Server);
  bool FirstTwo = Started[0].Server == Started[1].Server;
  const started_attempt &Answered = FirstTwo ? Started[0] : Started[2];
  const started_attempt &Connecting = Started[1];
  REQUIRE(Answered.Server == Connecting.Server);
  transport().connect(Answered.Id);
  answerLeaving(Answered.Id);
  CHECK_FALSE(transport().connect(Connecting.Id));
  REQUIRE(attempts().size() == 2);
  for (const started_attempt &Each : attempts() | std::views::values)
    CHECK(Each.Server != Answered.Server);
}

TEST_CASE_METHOD(one_server_fixture,
                 "queued requests are rejected at once when all servers have "
                 "announced that they are leaving") {
  std::vector<std::uint64_t> Callers;
  for (int Count = 0; Count < 60; ++Count)
    Callers.push_back(send("GET", "/s/1"));
  std::size_t Sent = attempts().size();
  auto Rejected = [&] {
    return std::ranges::count_if(Callers, [&](std::uint64_t Caller) {
      const auto &Head = response(Caller).Head;
      return Head && Head->Status == 503 && Head->Outcome == outcome::NotRun;
    });
  };
  auto RejectedBefore = Rejected();
  REQUIRE(Sent + static_cast<std::size_t>(RejectedBefore) < Callers.size());
  answerLeaving(attempts().begin()->first);
  CHECK(static_cast<std::size_t>(Rejected()) == Callers.size() - Sent);
  // Those that were sent before run on.
  CHECK(attempts().size() == Sent - 1);
  auto Later = send("GET", "/s/1");
  REQUIRE(response(Later).Head);
  CHECK(response(Later).Head->Status == 503);
}

TEST_CASE_METHOD(one_server_fixture,
                 "a request that would go to a leaving server again is "
                 "answered at once if there is no other one") {
  auto Caller = send("GET", "/s/1");
  auto Connecting = send("GET", "/s/1");
  REQUIRE(attempts().size() == 2);
  attempt_id Second = std::next(attempts().begin())->first;
  answerLeaving(attempts().begin()->first, 200);
  REQUIRE(response(Caller).Head);
  CHECK_FALSE(transport().connect(Second));
  REQUIRE(response(Connecting).Head);
  CHECK(response(Connecting).Head->Status == 503);
}

TEST_CASE_METHOD(one_server_fixture,
                 "a request that is not sent to a server that has left goes to "
                 "its successor at the address") {
  send("GET", "/s/1");
  auto Connecting = send("GET", "/s/1");
  REQUIRE(attempts().size() == 2);
  attempt_id Second = std::next(attempts().begin())->first;
  answerLeaving(attempts().begin()->first);
  restart("a", "i-2", 2);
  CHECK_FALSE(transport().connect(Second));
  REQUIRE(attempts().size() == 1);
  transport().respond(attempts().begin()->first, 200, "x");
  CHECK(response(Connecting).Body == "x");
  CHECK(serversUsedLater().contains("a"));
}

TEST_CASE_METHOD(leaving_fixture,
                 "a server's announcement that it is leaving is logged and "
                 "counted once") {
  event_capture Log;
  send("POST", "/s/1");
  started_attempt First = attempts().begin()->second;
  for (int Count = 0; Count < 5; ++Count)
    send("POST", "/s/1");
  std::vector<started_attempt> Started;
  std::ranges::copy_if(
      attempts() | std::views::values, std::back_inserter(Started),
      [&](const started_attempt &Each) { return Each.Server == First.Server; });
  REQUIRE(Started.size() > 1);
  for (const started_attempt &Each : Started)
    answerLeaving(Each.Id);
  auto Lines = Log.lines("server_leaving");
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0]["server"] == First.Server);
  CHECK(Lines[0]["status"] == 200);
  CHECK(Metrics.text().find(
            "endiverail_servers_leaving_total{service=\"s\"} 1\n") !=
        std::string::npos);
}
