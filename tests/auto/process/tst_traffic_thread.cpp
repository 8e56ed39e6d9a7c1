#include "event_capture.h"
#include "traffic_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

started_attempt onlyAttempt(traffic_fixture &Fixture) {
  REQUIRE(Fixture.attempts().size() == 1);
  return Fixture.attempts().begin()->second;
}

} // namespace

TEST_CASE_METHOD(traffic_fixture, "a response is forwarded completely") {
  auto Caller = send("GET", "/s/1");
  started_attempt Attempt = onlyAttempt(*this);
  CHECK(Attempt.Target == "/s/1");
  CHECK(Attempt.Connection == connection_choice::Reuse);
  transport().respond(Attempt.Id, 200, "body");
  CHECK(response(Caller).Ended);
  CHECK(response(Caller).Body == "body");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a request that is not idempotent uses a new connection") {
  send("POST", "/s/1");
  CHECK(onlyAttempt(*this).Connection == connection_choice::Fresh);
}

TEST_CASE_METHOD(traffic_fixture, "outcome reported to callers for failures") {
  struct row {
    const char *What;
    const char *Method;
    error_kind Failure;
    bool ProvenNotRun;
    bool Retried;
    outcome Reported;
  };
  const row Rows[]{
      {"a read that loses its connection", "GET", error_kind::BackendCut, false,
       true, outcome::Unknown},
      {"a write that loses its connection", "POST", error_kind::BackendCut,
       false, false, outcome::Unknown},
      {"a write that timed out", "POST", error_kind::BackendTimeout, false,
       false, outcome::Unknown},
      {"a write that reached no server", "POST", error_kind::BackendUnreachable,
       true, true, outcome::NotRun},
      {"a write that was shed", "POST", error_kind::BackendShed, false, true,
       outcome::NotRun},
      {"a write with a response to another attempt", "POST",
       error_kind::ForeignAnswer, false, false, outcome::Unknown},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    traffic_fixture Fixture;
    auto Caller = Fixture.send(Row.Method, "/s/1");
    Fixture.transport().fail(onlyAttempt(Fixture).Id, Row.Failure,
                             Row.ProvenNotRun);
    CHECK(Fixture.attempts().empty() != Row.Retried);
    // All further attempts fail in the same way.
    for (int Count = 0; Count < 5 && !Fixture.attempts().empty(); ++Count)
      Fixture.transport().fail(onlyAttempt(Fixture).Id, Row.Failure,
                               Row.ProvenNotRun);
    REQUIRE(Fixture.response(Caller).Ended);
    CHECK(Fixture.outcomeOf(Caller) == Row.Reported);
  }
}

TEST_CASE_METHOD(traffic_fixture, "a retry goes to another backend server") {
  auto Caller = send("GET", "/s/1");
  started_attempt First = onlyAttempt(*this);
  transport().fail(First.Id, error_kind::BackendCut);
  started_attempt Second = onlyAttempt(*this);
  CHECK(Second.Server != First.Server);
  transport().respond(Second.Id, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture, "a long request is not given up if responses "
                                  "usually take that long") {
  // Most reads take 400 ms, some three times as long, which is more than half
  // of their limit of 2 s. Such a read would take as long on another server.
  for (int Count = 0; Count < 60; ++Count) {
    send("GET", "/s/1");
    advance(400ms);
    transport().respond(onlyAttempt(*this).Id, 200, "x");
  }
  auto Caller = send("GET", "/s/long");
  attempt_id First = onlyAttempt(*this).Id;
  advance(1'200ms);
  REQUIRE(onlyAttempt(*this).Id == First);
  transport().respond(First, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a response cut after its start closes the connection") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 1'000'000);
  transport().Receiver.onBodyData(Id, std::string(100'000, 'x'));
  REQUIRE(response(Caller).Head);
  transport().fail(Id, error_kind::BackendCut);
  CHECK(response(Caller).Broken);
  CHECK_FALSE(response(Caller).Ended);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a request is retried if a small response is cut") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 1'000);
  transport().Receiver.onBodyData(Id, std::string(500, 'x'));
  transport().fail(Id, error_kind::BackendCut);
  CHECK_FALSE(response(Caller).Head);
  transport().respond(onlyAttempt(*this).Id, 200, "whole");
  CHECK(response(Caller).Body == "whole");
}

TEST_CASE_METHOD(traffic_fixture,
                 "a caller that does not read pauses the response") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 100'000'000);
  std::string Piece(64 * 1024, 'x');
  std::size_t Taken = 0;
  while (transport().Receiver.onBodyData(Id, Piece)) {
    Taken += Piece.size();
    REQUIRE(Taken < 2'000'000);
  }
  deliver(response_written{{0, Caller, 1}, Taken});
  CHECK(transport().Resumed == std::vector<attempt_id>{Id});
  CHECK(transport().Receiver.onBodyData(Id, Piece));
}

TEST_CASE_METHOD(traffic_fixture,
                 "a response without end to a caller that has gone takes no "
                 "memory without end") {
  auto Caller = send("POST", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, std::nullopt);
  deliver(caller_gone{{0, Caller, 1}});
  std::string Piece(64 * 1024, 'x');
  std::size_t Taken = 0;
  while (attempts().contains(Id) &&
         transport().Receiver.onBodyData(Id, Piece)) {
    Taken += Piece.size();
    REQUIRE(Taken < 2'000'000);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "a key runs once and its response is replayed") {
  auto First = send("POST", "/s/1", key());
  attempt_id Id = onlyAttempt(*this).Id;
  auto Meanwhile = send("POST", "/s/1", key());
  CHECK(outcomeOf(Meanwhile) == outcome::Unknown);
  transport().respond(Id, 200, "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(response(First).Body == "held");
  CHECK(response(Again).Body == "held");
  CHECK(findHeader(response(Again).Head->Headers, "Endiverail-Replayed") ==
        "true");
}

TEST_CASE_METHOD(traffic_fixture, "an unknown outcome is stored") {
  send("POST", "/s/1", key());
  transport().fail(onlyAttempt(*this).Id, error_kind::BackendTimeout);
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(outcomeOf(Again) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a key whose request was not run may be used again") {
  auto First = send("POST", "/s/1", key());
  while (!attempts().empty())
    transport().fail(onlyAttempt(*this).Id, error_kind::BackendUnreachable,
                     true);
  CHECK(outcomeOf(First) == outcome::NotRun);
  advance(2000ms);
  send("POST", "/s/1", key());
  CHECK(attempts().size() == 1);
}

TEST_CASE_METHOD(
    traffic_fixture,
    "a request with another proxy's key is forwarded to its issuer") {
  struct row {
    const char *What;
    std::string Key;
    bool Forwarded;
    bool ToIssuer;
  };
  const row Rows[]{
      {"issuer there", key("other", 8), false, true},
      {"issuer restarted", key("other", 6), false, false},
      {"issuer gone", key("third", 1), false, false},
      {"own earlier incarnation", key("self", 6), false, false},
      {"forwarded already", key("other", 8), true, false},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    traffic_fixture Fixture;
    auto Caller = Fixture.send("POST", "/s/1", Row.Key, Row.Forwarded);
    // The lookup of the holder is retried a few times before the request fails.
    if (!Row.ToIssuer)
      Fixture.advance(1'000ms);
    if (Row.ToIssuer) {
      started_attempt Attempt = onlyAttempt(Fixture);
      CHECK(Attempt.Server == "other:1");
      CHECK(findHeader(Attempt.Headers, "Endiverail-Key") == Row.Key);
    } else {
      CHECK(Fixture.attempts().empty());
      CHECK(Fixture.outcomeOf(Caller) == outcome::Unknown);
    }
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "a key whose issuer is unreachable is not run elsewhere") {
  // This proxy owns the servers and could run the request itself.
  for (bool ProvenNotSent : {true, false}) {
    traffic_fixture Fixture;
    auto Caller = Fixture.send("POST", "/s/1", key("other", 8));
    std::size_t AttemptsToHolder = 0;
    while (!Fixture.attempts().empty()) {
      CHECK(onlyAttempt(Fixture).Server == "other:1");
      ++AttemptsToHolder;
      Fixture.transport().fail(onlyAttempt(Fixture).Id,
                               error_kind::BackendUnreachable, ProvenNotSent);
      Fixture.advance(110ms);
    }
    CHECK(AttemptsToHolder == (ProvenNotSent ? 6 : 1));
    CHECK(Fixture.outcomeOf(Caller) == outcome::Unknown);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "a retry that never starts leaves the outcome unknown") {
  auto Caller = send("GET", "/s/1");
  publish("self", 0);
  transport().fail(onlyAttempt(*this).Id, error_kind::BackendCut);
  advance(2'500ms);
  CHECK(attempts().empty());
  CHECK(outcomeOf(Caller) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture, "an expired key is not run again") {
  send("POST", "/s/1", key());
  transport().respond(onlyAttempt(*this).Id, 200, "held");
  advance(70s);
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(outcomeOf(Again) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a successor replays and runs the issuer's keys") {
  const proxy_incarnation Ended{"ended", 3};
  std::string FinishedKey = key("ended", 3, "1");
  std::string NewKey = key("ended", 3, "2");
  deliver(
      inherited_keys{"s", {{"s/" + FinishedKey, Ended, {{}, "held before"}}}});

  SECTION("not before the successor is confirmed") {
    auto Early = send("POST", "/s/1", FinishedKey);
    advance(1'000ms);
    CHECK(attempts().empty());
    CHECK(outcomeOf(Early) == outcome::Unknown);
  }
  SECTION("while the request is being retried") {
    auto Early = send("POST", "/s/1", FinishedKey);
    advance(150ms);
    KeySuccessors = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    advance(150ms);
    CHECK(response(Early).Body == "held before");
  }
  SECTION("after the successor is confirmed") {
    KeySuccessors = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    auto Again = send("POST", "/s/1", FinishedKey, true);
    CHECK(attempts().empty());
    CHECK(response(Again).Body == "held before");
    send("POST", "/s/2", NewKey, true);
    transport().respond(onlyAttempt(*this).Id, 200, "held");
    auto Replayed = send("POST", "/s/2", NewKey);
    CHECK(attempts().empty());
    CHECK(response(Replayed).Body == "held");
  }
  SECTION("other proxies forward to the successor") {
    KeySuccessors = {{Ended, {"other", 8}, 1}};
    publish("self", 3);
    send("POST", "/s/1", NewKey);
    CHECK(onlyAttempt(*this).Server == "other:1");
  }
  SECTION("if not all keys fit in the table, none is treated as new") {
    remembered_key Large{"s/large", Ended, {{}, std::string(1'100'000, 'x')}};
    deliver(inherited_keys{"s", {Large}});
    KeySuccessors = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    auto Refused = send("POST", "/s/2", NewKey);
    CHECK(attempts().empty());
    CHECK(outcomeOf(Refused) == outcome::Unknown);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "only the issuer of a key reports it as not run") {
  request_fingerprint Poison = fingerprintOf("s", "write", "/s/killer", "");
  deliver(server_death{"s", Poison, "x"});
  deliver(server_death{"s", Poison, "y"});
  auto Plain = send("POST", "/s/killer");
  CHECK(outcomeOf(Plain) == outcome::NotRun);
  auto Keyed = send("POST", "/s/killer", key("other", 8));
  CHECK(outcomeOf(Keyed) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture,
                 "an issuer without servers forwards without the key") {
  publish("other", 3);
  auto Caller = send("POST", "/s/1", key());
  started_attempt Attempt = onlyAttempt(*this);
  CHECK(Attempt.Server == "other:1");
  CHECK(findHeader(Attempt.Headers, "Endiverail-Key").empty());
  CHECK(verifyHopToken(findHeader(Attempt.Headers, "Endiverail-Hop"), "POST",
                       "/s/1", Secret));
  transport().respond(Attempt.Id, 200, "held",
                      {{"Endiverail-Outcome", "done"}});
  CHECK(response(Caller).Body == "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(response(Again).Body == "held");
}

TEST_CASE_METHOD(traffic_fixture,
                 "a forwarded request is not forwarded again") {
  publish("other", 3);
  send("GET", "/s/1", "", true);
  CHECK(onlyAttempt(*this).Server != "other:1");
}

TEST_CASE_METHOD(traffic_fixture, "a peer's outcome is forwarded unchanged") {
  struct row {
    const char *Outcome;
    int Status;
    outcome Reported;
  };
  for (const row &Row : {row{"not-run", 503, outcome::NotRun},
                         row{"unknown", 504, outcome::Unknown},
                         row{"done", 200, outcome::Done}}) {
    INFO(Row.Outcome);
    traffic_fixture Fixture;
    Fixture.publish("other", 3);
    auto Caller = Fixture.send("POST", "/s/1");
    Fixture.transport().respond(onlyAttempt(Fixture).Id, Row.Status, "",
                                {{"Endiverail-Outcome", Row.Outcome}});
    CHECK(Fixture.outcomeOf(Caller) == Row.Reported);
  }
}

TEST_CASE_METHOD(traffic_fixture, "an answer that a key's holder cuts is not "
                                  "continued by an error") {
  auto Caller = send("POST", "/s/1", key("other", 8));
  attempt_id Id = onlyAttempt(*this).Id;
  std::string Begun(100'000, 'x');
  REQUIRE(transport().head(Id, 200, 200'000));
  REQUIRE(transport().Receiver.onBodyData(Id, Begun));
  transport().fail(Id, error_kind::BackendCut);
  CHECK(response(Caller).Broken);
  CHECK_FALSE(response(Caller).Ended);
  CHECK(response(Caller).Head->Status == 200);
  CHECK(response(Caller).Body == Begun);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a backend server's outcome field is ignored") {
  auto Caller = send("POST", "/s/1");
  transport().respond(onlyAttempt(*this).Id, 200, "x",
                      {{"Endiverail-Outcome", "not-run"}});
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a poison request is stopped after two servers") {
  std::set<std::string> FailedServers;
  for (int Resent = 0; Resent < 5; ++Resent) {
    send("GET", "/s/killer");
    while (!attempts().empty()) {
      started_attempt Attempt = onlyAttempt(*this);
      FailedServers.insert(Attempt.Server);
      transport().fail(Attempt.Id, error_kind::BackendCut);
    }
    advance(100ms);
  }
  CHECK(FailedServers.size() <= 2);
  auto Caller = send("GET", "/s/killer");
  CHECK(findHeader(response(Caller).Head->Headers, "Endiverail-Error") ==
        "quarantined");
}

TEST_CASE_METHOD(traffic_fixture, "server deaths reported by peers count") {
  request_fingerprint Poison = fingerprintOf("s", "read", "/s/killer", "");
  deliver(server_death{"s", Poison, "x"});
  deliver(server_death{"s", Poison, "y"});
  auto Caller = send("GET", "/s/killer");
  CHECK(attempts().empty());
  CHECK(outcomeOf(Caller) == outcome::NotRun);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a read without response is retried in time") {
  auto Caller = send("GET", "/s/1");
  started_attempt First = onlyAttempt(*this);
  advance(1100ms);
  started_attempt Second = onlyAttempt(*this);
  CHECK(Second.Id != First.Id);
  CHECK(transport().Cancelled == std::vector<attempt_id>{First.Id});
  transport().respond(Second.Id, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture, "a write that hangs is not sent again") {
  send("POST", "/s/1");
  started_attempt First = onlyAttempt(*this);
  advance(1900ms);
  CHECK(onlyAttempt(*this).Id == First.Id);
}

TEST_CASE_METHOD(traffic_fixture, "a request queued for too long is not run") {
  std::vector<std::uint64_t> Callers;
  for (int Count = 0; Count < 30; ++Count)
    Callers.push_back(send("POST", "/s/1"));
  CHECK(attempts().size() == 18);
  advance(2100ms);
  CHECK(outcomeOf(Callers.back()) == outcome::NotRun);
  CHECK(attempts().size() == 18);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a closed connection cancels a queued request") {
  for (int Count = 0; Count < 18; ++Count)
    send("POST", "/s/1");
  auto Waiting = send("POST", "/s/1", key());
  deliver(caller_gone{{0, Waiting, 1}});
  transport().respond(attempts().begin()->first, 200, "x");
  CHECK(attempts().size() == 17);
  // The request was not run, so its key may be used again.
  send("POST", "/s/1", key());
  CHECK(attempts().size() == 18);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a write continues after its caller has disconnected") {
  auto Caller = send("POST", "/s/1", key());
  deliver(caller_gone{{0, Caller, 1}});
  transport().respond(onlyAttempt(*this).Id, 200, "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(response(Again).Body == "held");
}

TEST_CASE_METHOD(traffic_fixture, "a leaving server is reported") {
  send("GET", "/s/1");
  started_attempt Attempt = onlyAttempt(*this);
  transport().respond(Attempt.Id, 200, "x", {{"Endiverail-Leaving", "true"}});
  bool Reported = false;
  for (const control_notice &Notice : Notices.Notices)
    if (const auto *Leaving = std::get_if<server_leaving>(&Notice))
      Reported |= Leaving->Server == Attempt.Server;
  CHECK(Reported);
  for (int Count = 0; Count < 30; ++Count)
    send("GET", "/s/1");
  for (const auto &[Id, Each] : attempts())
    CHECK(Each.Server != Attempt.Server);
}

TEST_CASE_METHOD(shared_traffic_fixture, "retry limits can change while "
                                         "requests run") {
  // No retries are allowed at first.
  auto FailFirst = [&] {
    auto Caller = send("GET", "/s/1");
    transport().fail(attempts().begin()->first, error_kind::BackendCut);
    return Caller;
  };
  FailFirst();
  FailFirst();
  CHECK(attempts().empty());
  deliver(retries_changed{{10, 100}});
  auto Caller = FailFirst();
  REQUIRE(attempts().size() == 1);
  transport().respond(attempts().begin()->first, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE("a request that waits for a server with all its starts used up is "
          "sent once more are allowed") {
  shared_traffic_fixture Fixture(1);
  std::vector<std::uint64_t> Callers;
  // Slots and starts of a single server for a process that is alone.
  constexpr std::size_t Slots = 6;
  constexpr std::size_t Starts = 2 * Slots;
  for (std::size_t Count = 0; Count <= Starts; ++Count) {
    Callers.push_back(Fixture.send("POST", "/s/x"));
    if (Count < Starts) {
      REQUIRE(Fixture.attempts().size() == 1);
      Fixture.transport().respond(Fixture.attempts().begin()->first, 200, "ok");
    }
  }
  CHECK(Fixture.attempts().empty());
  Fixture.advance(60ms);
  REQUIRE(Fixture.attempts().size() == 1);
  Fixture.transport().respond(Fixture.attempts().begin()->first, 200, "ok");
  CHECK(Fixture.outcomeOf(Callers.back()) == outcome::Done);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request whose server leaves while the connection is being "
                 "established goes to another one, as its first "
                 "attempt") {
  std::string Method = GENERATE("GET", "POST");
  std::uint64_t Caller = send(Method, "/s/x");
  REQUIRE(attempts().size() == 1);
  started_attempt First = attempts().begin()->second;
  publishLeaving(First.Server);
  CHECK_FALSE(transport().connect(First.Id));
  REQUIRE(attempts().size() == 1);
  started_attempt Second = attempts().begin()->second;
  CHECK(Second.Server != First.Server);
  CHECK(transport().connect(Second.Id));
  transport().respond(Second.Id, 200, "ok");
  CHECK(response(Caller).Body == "ok");
  // The second attempt did not count as a retry.
  CHECK(Metrics.text().find("endiverail_retries_total{") == std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request whose caller has disconnected is not rescheduled "
                 "when its server leaves") {
  std::uint64_t Caller = send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  started_attempt First = attempts().begin()->second;
  deliver(caller_gone{{0, Caller, 1}});
  publishLeaving(First.Server);
  CHECK_FALSE(transport().connect(First.Id));
  CHECK(attempts().empty());
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "requests are not sent while the list of backend servers "
                 "is unconfirmed") {
  std::string Method = GENERATE("GET", "POST");
  setConfirmed(false);
  std::uint64_t Caller = send(Method, "/s/x");
  CHECK(attempts().empty());
  CHECK_FALSE(response(Caller).Head);
  setConfirmed(true);
  REQUIRE(attempts().size() == 1);
  transport().respond(attempts().begin()->first, 200, "ok");
  CHECK(response(Caller).Body == "ok");
}

TEST_CASE_METHOD(
    shared_traffic_fixture,
    "a request whose connection is established while the list of "
    "backend servers is unconfirmed waits, and is sent as its first "
    "attempt") {
  std::string Method = GENERATE("GET", "POST");
  std::uint64_t Caller = send(Method, "/s/x");
  REQUIRE(attempts().size() == 1);
  setConfirmed(false);
  CHECK_FALSE(transport().connect(attempts().begin()->first));
  CHECK(attempts().empty());
  CHECK_FALSE(response(Caller).Head);
  setConfirmed(true);
  REQUIRE(attempts().size() == 1);
  attempt_id Second = attempts().begin()->first;
  CHECK(transport().connect(Second));
  transport().respond(Second, 200, "ok");
  CHECK(response(Caller).Body == "ok");
  CHECK(Metrics.text().find("endiverail_retries_total{") == std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request has not reached its server as long as there is no "
                 "connection") {
  auto Reached = [&] {
    return std::ranges::any_of(Notices.reportedWork(), [](const auto &Work) {
      return Work.ReachedAgo.has_value() || Work.Accepted > 0;
    });
  };
  send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  advance(600ms);
  CHECK_FALSE(Reached());
  CHECK(transport().connect(attempts().begin()->first));
  advance(600ms);
  CHECK(Reached());
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "all servers are used after requests were held back") {
  constexpr std::size_t ServerCount = 3;
  std::vector<std::uint64_t> Callers;
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    Callers.push_back(send("GET", "/s/x"));
  REQUIRE(attempts().size() == ServerCount);
  setConfirmed(false);
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    CHECK_FALSE(transport().connect(attempts().begin()->first));
  setConfirmed(true);
  std::set<std::string> Servers;
  for (const auto &[Id, Attempt] : attempts())
    Servers.insert(Attempt.Server);
  CHECK(Servers.size() == ServerCount);
}

TEST_CASE_METHOD(
    shared_traffic_fixture,
    "a pooled connection that the server had closed costs no trust "
    "in the server") {
  deliver(retries_changed{{0.2, 100}});
  auto FirstAttempt = [&] { return attempts().begin()->second; };
  // Answered requests earn the retries.
  for (int Request = 0; Request < 10; ++Request) {
    send("GET", "/s/x");
    transport().respond(FirstAttempt().Id, 200, "ok");
  }
  std::vector<connection_choice> Choices;
  for (int Request = 0; Request < 2; ++Request) {
    std::uint64_t Caller = send("GET", "/s/x");
    started_attempt First = FirstAttempt();
    Choices.push_back(First.Connection);
    transport().end(First.Id,
                    {attempt_failure{error_kind::BackendCut, false, false}, "",
                     false, attempt_connection{.EarlierAttempts = 1}});
    REQUIRE(attempts().size() == 1);
    Choices.push_back(FirstAttempt().Connection);
    transport().respond(FirstAttempt().Id, 200, "ok");
    CHECK(outcomeOf(Caller) == outcome::Done);
  }
  // The server may have closed its other connections too, and after two
  // servers, others may have done so as well.
  CHECK(Choices.front() == connection_choice::Reuse);
  send("GET", "/s/x");
  CHECK(FirstAttempt().Connection == connection_choice::Fresh);
  transport().respond(FirstAttempt().Id, 200, "ok");
  advance(1s);
  std::uint32_t Accepted = 0;
  for (const server_work &Work : Notices.reportedWork()) {
    Accepted += Work.Accepted;
    CHECK(Work.Failed == 0);
  }
  CHECK(Accepted == 13);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "an attempt that made no connection needs no retry budget") {
  std::uint64_t Caller = send("POST", "/s/x");
  transport().fail(attempts().begin()->first, error_kind::BackendUnreachable,
                   true);
  REQUIRE(attempts().size() == 1);
  transport().respond(attempts().begin()->first, 200, "ok");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "the work reports of several services are sent together") {
  accepted_service_ref First = Service;
  auto Other = std::make_shared<accepted_service>();
  Other->Definition = definition(3);
  Other->Definition.Name = "t";
  OtherServices = {Other};
  publish("self", 3);
  send("POST", "/s/x");
  Service = Other;
  send("POST", "/s/x");
  advance(1s);
  Notices.Notices.clear();
  // A new request is not urgent, but goes with the report of a failure.
  send("POST", "/s/y");
  CHECK(Notices.reportedWork().empty());
  transport().fail(attempts().begin()->first, error_kind::BackendCut);
  Service = First;
  send("POST", "/s/z");
  std::vector<std::string> Reported;
  for (const control_notice &Notice : Notices.Notices)
    if (const auto *Reports = std::get_if<work_reports>(&Notice))
      for (const work_report &Report : Reports->Services)
        Reported.push_back(Report.Service);
  CHECK(Reported == std::vector<std::string>{"s", "t"});
}

TEST_CASE_METHOD(pausing_traffic_fixture,
                 "a request whose server asks for a pause while the connection "
                 "is being established goes to another one") {
  std::string Method = GENERATE("GET", "POST");
  std::map<std::string, std::vector<attempt_id>> ByServer;
  for (int Count = 0; Count < 6; ++Count)
    send(Method, "/s/x");
  for (const auto &[Id, Attempt] : attempts())
    ByServer[Attempt.Server].push_back(Id);
  auto Busy = std::ranges::find_if(
      ByServer, [](const auto &Each) { return Each.second.size() > 1; });
  REQUIRE(Busy != ByServer.end());
  transport().respond(Busy->second[0], 503, "",
                      {{"Endiverail-Not-Run", "true"}, {"Test-Pause", "500"}});
  std::size_t Before = attempts().size();
  CHECK_FALSE(transport().connect(Busy->second[1]));
  CHECK(attempts().size() == Before);
  CHECK_FALSE(attempts().contains(Busy->second[1]));
  for (const auto &[Id, Attempt] : attempts())
    if (Id > Busy->second[1] &&
        std::ranges::find(Busy->second, Id) == Busy->second.end())
      CHECK(Attempt.Server != Busy->first);
  CHECK(
      Metrics.text().find("endiverail_server_pauses_total{service=\"s\"} 1") !=
      std::string::npos);
}

TEST_CASE_METHOD(pausing_traffic_fixture,
                 "requests are refused with a true time while all servers "
                 "pause, and sent at its end without another event") {
  publish("self", 1);
  std::uint64_t First = send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  transport().respond(attempts().begin()->first, 503, "",
                      {{"Endiverail-Not-Run", "true"}, {"Test-Pause", "1000"}});
  std::uint64_t Second = send("POST", "/s/x");
  for (std::uint64_t Caller : {First, Second}) {
    REQUIRE(response(Caller).Head);
    CHECK(response(Caller).Head->Status == 503);
    CHECK(outcomeOf(Caller) == outcome::NotRun);
    auto Retry =
        parseDecimal(findHeader(response(Caller).Head->Headers, "Test-Retry"));
    REQUIRE(Retry);
    CHECK(*Retry >= 1'000);
    CHECK(*Retry <= 2'600);
  }
  CHECK(response(Second).Body.find("pause") != std::string::npos);
  advance(990ms);
  std::uint64_t Third = send("POST", "/s/x");
  CHECK(attempts().empty());
  CHECK_FALSE(response(Third).Head);
  REQUIRE(Traffic->nextWake());
  CHECK(*Traffic->nextWake() <= Now + 10ms);
  advance(10ms);
  CHECK(attempts().size() == 1);
}

TEST_CASE_METHOD(pausing_traffic_fixture,
                 "a server that turns requests away for a pause is not "
                 "reported as failing") {
  // Without the mark that it was not run, the response is an error.
  std::string Method = GENERATE("GET", "POST");
  send(Method, "/s/x");
  transport().respond(attempts().begin()->first, 503, "",
                      {{"Test-Pause", "1000"}});
  advance(1s);
  for (const server_work &Work : Notices.reportedWork()) {
    CHECK(Work.Failed == 0);
    CHECK(Work.ErrorAfterWork == 0);
    CHECK(Work.Accepted == 0);
  }
}

TEST_CASE_METHOD(pausing_traffic_fixture,
                 "a line tells how long a server asked for no requests and how "
                 "long it gets none") {
  event_capture Lines;
  send("POST", "/s/x");
  std::string Server = attempts().begin()->second.Server;
  transport().respond(
      attempts().begin()->first, 503, "",
      {{"Endiverail-Not-Run", "true"}, {"Test-Pause", "7200000"}});
  auto Paused = Lines.lines("server_paused");
  REQUIRE(Paused.size() == 1);
  CHECK(Paused[0]["server"] == Server);
  CHECK(Paused[0]["asked_ms"] == 7'200'000);
  CHECK(Paused[0]["paused_ms"] == 3'600'000);
}

namespace {

/// A shared pool, and an organisation with a quota that is known to be used up.
class quota_traffic_fixture : public pausing_traffic_fixture {
public:
  quota_traffic_fixture() {
    Organisations = valueFrom([] {
      return organisation_table::build({{{"acme", {}, {10, 10}}, {"key"}},
                                        {{"free", {}, {}}, {"other-key"}}});
    });
    AccessKey = "key";
    Organisation = "acme";
    publish("self", 3);
  }

  void setShare(double Share) {
    deliver(quota_shares{{{"acme", Share, 100, 0.5}}});
  }

  /// The counters of the last report to the coordinator.
  quota_use lastReported() {
    Now += 200ms;
    Traffic->onWake(Now);
    quota_use Last;
    for (const control_notice &Notice : Notices.Notices)
      if (const auto *Report = std::get_if<quota_report>(&Notice))
        Last = Report->Uses.back();
    return Last;
  }
};

} // namespace

TEST_CASE_METHOD(quota_traffic_fixture,
                 "an organisation beyond its quota is answered 429 with a time "
                 "to come back, and no attempt starts") {
  setShare(0);
  std::string Method = GENERATE("GET", "POST");
  std::uint64_t Caller = send(Method, "/s/x");
  CHECK(attempts().empty());
  REQUIRE(response(Caller).Head);
  CHECK(response(Caller).Head->Status == 429);
  CHECK(outcomeOf(Caller) == outcome::NotRun);
  auto Retry =
      parseDecimal(findHeader(response(Caller).Head->Headers, "Test-Retry"));
  REQUIRE(Retry);
  CHECK(*Retry >= 500);
  CHECK(Metrics.text().find("endiverail_quota_refusals_total{basis=\"share\"} "
                            "1") != std::string::npos);
  CHECK(lastReported().Requested == 1);
  CHECK(lastReported().Admitted == 0);
  // Another organisation is served.
  Organisation = "free";
  AccessKey = "other-key";
  send(Method, "/s/x");
  CHECK(attempts().size() == 1);
}

TEST_CASE_METHOD(quota_traffic_fixture,
                 "a request that a server has turned away before it ran is "
                 "given back to its organisation's quota") {
  publish("self", 1);
  setShare(10);
  std::uint64_t Caller = send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  CHECK(lastReported().Admitted == 1);
  transport().respond(attempts().begin()->first, 503, "",
                      {{"Endiverail-Not-Run", "true"}, {"Test-Pause", "9000"}});
  REQUIRE(response(Caller).Head);
  CHECK(outcomeOf(Caller) == outcome::NotRun);
  CHECK(lastReported().Admitted == 0);
}

TEST_CASE_METHOD(quota_traffic_fixture, "a request that may have run is not "
                                        "given back to the quota") {
  setShare(10);
  send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  transport().fail(attempts().begin()->first, error_kind::BackendCut);
  CHECK(lastReported().Admitted == 1);
}

TEST_CASE_METHOD(quota_traffic_fixture,
                 "a request whose caller goes before it was sent is given back "
                 "to the quota when its server leaves") {
  setShare(10);
  std::uint64_t Caller = send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  started_attempt First = attempts().begin()->second;
  deliver(caller_gone{{0, Caller, 1}});
  publishLeaving(First.Server);
  CHECK_FALSE(transport().connect(First.Id));
  CHECK(attempts().empty());
  CHECK(lastReported().Admitted == 0);
}

TEST_CASE_METHOD(quota_traffic_fixture,
                 "a thread without a version does not spin when a coordinator "
                 "announces a restriction") {
  Traffic = makeTraffic();
  deliver(quota_shares{{{"acme", 0.5, 100, std::nullopt}}});
  Traffic->onWake(Now);
  CHECK((!Traffic->nextWake() || *Traffic->nextWake() > Now));
}

TEST_CASE_METHOD(quota_traffic_fixture,
                 "a request that waits on a public route is not refused when "
                 "its key is removed") {
  publish("self", 1);
  setShare(10);
  Public = GENERATE(false, true);
  setConfirmed(false);
  std::uint64_t Last = send("POST", "/s/x");
  REQUIRE(attempts().empty());
  CHECK_FALSE(response(Last).Head);
  Organisations = valueFrom([] {
    return organisation_table::build({{{"acme", {}, {10, 10}}, {"new-key"}}});
  });
  publish("self", 1);
  if (Public) {
    CHECK_FALSE(response(Last).Head);
    return;
  }
  REQUIRE(response(Last).Head);
  CHECK(response(Last).Head->Status == 401);
}
