#include "traffic_fixture.h"

#include <catch2/catch.hpp>

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

TEST_CASE_METHOD(traffic_fixture, "an answer is passed on whole") {
  auto Caller = send("GET", "/s/1");
  started_attempt Attempt = onlyAttempt(*this);
  CHECK(Attempt.Target == "/s/1");
  CHECK(Attempt.Connection == connection_choice::Reuse);
  transport().answer(Attempt.Id, 200, "body");
  CHECK(answer(Caller).Ended);
  CHECK(answer(Caller).Body == "body");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture,
                 "work that is not idempotent goes on a fresh connection") {
  send("POST", "/s/1");
  CHECK(onlyAttempt(*this).Connection == connection_choice::Fresh);
}

TEST_CASE_METHOD(traffic_fixture, "what callers are told of failures") {
  struct row {
    const char *What;
    const char *Method;
    error_kind Failure;
    bool ProvenNotRun;
    bool Retried;
    outcome Told;
  };
  const row Rows[]{
      {"a read that is cut", "GET", error_kind::BackendCut, false, true,
       outcome::Unknown},
      {"a write that is cut", "POST", error_kind::BackendCut, false, false,
       outcome::Unknown},
      {"a write that timed out", "POST", error_kind::BackendTimeout, false,
       false, outcome::Unknown},
      {"a write that met nobody", "POST", error_kind::BackendUnreachable, true,
       true, outcome::NotRun},
      {"a write that was shed", "POST", error_kind::BackendShed, false, true,
       outcome::NotRun},
      {"a write with another's answer", "POST", error_kind::ForeignAnswer,
       false, false, outcome::Unknown},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    traffic_fixture Fixture;
    auto Caller = Fixture.send(Row.Method, "/s/1");
    Fixture.transport().fail(onlyAttempt(Fixture).Id, Row.Failure,
                             Row.ProvenNotRun);
    CHECK(Fixture.attempts().empty() != Row.Retried);
    // Whatever follows fails in the same way.
    for (int Count = 0; Count < 5 && !Fixture.attempts().empty(); ++Count)
      Fixture.transport().fail(onlyAttempt(Fixture).Id, Row.Failure,
                               Row.ProvenNotRun);
    REQUIRE(Fixture.answer(Caller).Ended);
    CHECK(Fixture.outcomeOf(Caller) == Row.Told);
  }
}

TEST_CASE_METHOD(traffic_fixture, "a retry goes to another backend server") {
  auto Caller = send("GET", "/s/1");
  started_attempt First = onlyAttempt(*this);
  transport().fail(First.Id, error_kind::BackendCut);
  started_attempt Second = onlyAttempt(*this);
  CHECK(Second.Server != First.Server);
  transport().answer(Second.Id, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture, "long work is let to its end where answers "
                                  "usually take that long") {
  // The load: reads of 400 ms, now and then one of three times that, which is
  // more than half of its 2 s. Elsewhere it would take as long again.
  for (int Count = 0; Count < 60; ++Count) {
    send("GET", "/s/1");
    pass(400ms);
    transport().answer(onlyAttempt(*this).Id, 200, "x");
  }
  auto Caller = send("GET", "/s/long");
  attempt_id First = onlyAttempt(*this).Id;
  pass(1'200ms);
  REQUIRE(onlyAttempt(*this).Id == First);
  transport().answer(First, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture,
                 "an answer that is cut after its start breaks visibly") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 1'000'000);
  transport().To.onBodyData(Id, std::string(100'000, 'x'));
  REQUIRE(answer(Caller).Head);
  transport().fail(Id, error_kind::BackendCut);
  CHECK(answer(Caller).Broken);
  CHECK_FALSE(answer(Caller).Ended);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a small answer that is cut is tried again unseen") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 1'000);
  transport().To.onBodyData(Id, std::string(500, 'x'));
  transport().fail(Id, error_kind::BackendCut);
  CHECK_FALSE(answer(Caller).Head);
  transport().answer(onlyAttempt(*this).Id, 200, "whole");
  CHECK(answer(Caller).Body == "whole");
}

TEST_CASE_METHOD(traffic_fixture, "a stalled caller pauses the answer") {
  auto Caller = send("GET", "/s/1");
  attempt_id Id = onlyAttempt(*this).Id;
  transport().head(Id, 200, 100'000'000);
  std::string Piece(64 * 1024, 'x');
  std::size_t Taken = 0;
  while (transport().To.onBodyData(Id, Piece)) {
    Taken += Piece.size();
    REQUIRE(Taken < 2'000'000);
  }
  tell(answer_written{{0, Caller, 1}, Taken});
  CHECK(transport().Resumed == std::vector<attempt_id>{Id});
  CHECK(transport().To.onBodyData(Id, Piece));
}

TEST_CASE_METHOD(traffic_fixture, "a key runs once and answers again") {
  auto First = send("POST", "/s/1", key());
  attempt_id Id = onlyAttempt(*this).Id;
  auto Meanwhile = send("POST", "/s/1", key());
  CHECK(outcomeOf(Meanwhile) == outcome::Unknown);
  transport().answer(Id, 200, "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(answer(First).Body == "held");
  CHECK(answer(Again).Body == "held");
  CHECK(findHeader(answer(Again).Head->Headers, "Endiverail-Replayed") ==
        "true");
}

TEST_CASE_METHOD(traffic_fixture, "an unknown outcome is remembered") {
  send("POST", "/s/1", key());
  transport().fail(onlyAttempt(*this).Id, error_kind::BackendTimeout);
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(outcomeOf(Again) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture, "a key that was not run may run") {
  auto First = send("POST", "/s/1", key());
  while (!attempts().empty())
    transport().fail(onlyAttempt(*this).Id, error_kind::BackendUnreachable,
                     true);
  CHECK(outcomeOf(First) == outcome::NotRun);
  pass(2000ms);
  send("POST", "/s/1", key());
  CHECK(attempts().size() == 1);
}

TEST_CASE_METHOD(traffic_fixture, "another proxy's key goes to its issuer") {
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
    // The holder of a key is looked for a few times before it is given up.
    if (!Row.ToIssuer)
      Fixture.pass(1'000ms);
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
                 "a key whose issuer is not reached runs nowhere else") {
  // This proxy owns the servers and could run the work itself.
  for (bool ProvenNotSent : {true, false}) {
    traffic_fixture Fixture;
    auto Caller = Fixture.send("POST", "/s/1", key("other", 8));
    std::size_t Asked = 0;
    while (!Fixture.attempts().empty()) {
      CHECK(onlyAttempt(Fixture).Server == "other:1");
      ++Asked;
      Fixture.transport().fail(onlyAttempt(Fixture).Id,
                               error_kind::BackendUnreachable, ProvenNotSent);
      Fixture.pass(110ms);
    }
    CHECK(Asked == (ProvenNotSent ? 6 : 1));
    CHECK(Fixture.outcomeOf(Caller) == outcome::Unknown);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "a retry that never starts does not undo what may have run") {
  auto Caller = send("GET", "/s/1");
  publish("self", 0);
  transport().fail(onlyAttempt(*this).Id, error_kind::BackendCut);
  pass(2'500ms);
  CHECK(attempts().empty());
  CHECK(outcomeOf(Caller) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture, "a key is not run again after its life") {
  send("POST", "/s/1", key());
  transport().answer(onlyAttempt(*this).Id, 200, "held");
  pass(70s);
  auto Again = send("POST", "/s/1", key());
  CHECK(attempts().empty());
  CHECK(outcomeOf(Again) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture,
                 "an heir answers and runs the issuer's keys") {
  const proxy_incarnation Ended{"ended", 3};
  std::string Ran = key("ended", 3, "1");
  std::string Fresh = key("ended", 3, "2");
  tell(inherited_keys{"s", {{"s/" + Ran, Ended, {{}, "held before"}}}});

  SECTION("not before the right is in force") {
    auto Early = send("POST", "/s/1", Ran);
    pass(1'000ms);
    CHECK(attempts().empty());
    CHECK(outcomeOf(Early) == outcome::Unknown);
  }
  SECTION("while the request waits") {
    auto Early = send("POST", "/s/1", Ran);
    pass(150ms);
    Heirs = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    pass(150ms);
    CHECK(answer(Early).Body == "held before");
  }
  SECTION("from then on") {
    Heirs = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    auto Again = send("POST", "/s/1", Ran, true);
    CHECK(attempts().empty());
    CHECK(answer(Again).Body == "held before");
    send("POST", "/s/2", Fresh, true);
    transport().answer(onlyAttempt(*this).Id, 200, "held");
    auto Replayed = send("POST", "/s/2", Fresh);
    CHECK(attempts().empty());
    CHECK(answer(Replayed).Body == "held");
  }
  SECTION("others ask the heir") {
    Heirs = {{Ended, {"other", 8}, 1}};
    publish("self", 3);
    send("POST", "/s/1", Fresh);
    CHECK(onlyAttempt(*this).Server == "other:1");
  }
  SECTION("without room for all keys none is taken for fresh") {
    remembered_key Large{"s/large", Ended, {{}, std::string(1'100'000, 'x')}};
    tell(inherited_keys{"s", {Large}});
    Heirs = {{Ended, {"self", 7}, 1}};
    publish("self", 3);
    auto Refused = send("POST", "/s/2", Fresh);
    CHECK(attempts().empty());
    CHECK(outcomeOf(Refused) == outcome::Unknown);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "only the issuer of a key says that it was not run") {
  request_fingerprint Killer = fingerprintOf("s", "write", "/s/killer", "");
  tell(server_death{"s", Killer, "x"});
  tell(server_death{"s", Killer, "y"});
  auto Plain = send("POST", "/s/killer");
  CHECK(outcomeOf(Plain) == outcome::NotRun);
  auto Keyed = send("POST", "/s/killer", key("other", 8));
  CHECK(outcomeOf(Keyed) == outcome::Unknown);
}

TEST_CASE_METHOD(traffic_fixture,
                 "an issuer that owns nothing forwards the bare work") {
  publish("other", 3);
  auto Caller = send("POST", "/s/1", key());
  started_attempt Attempt = onlyAttempt(*this);
  CHECK(Attempt.Server == "other:1");
  CHECK(findHeader(Attempt.Headers, "Endiverail-Key").empty());
  CHECK(checkHopProof(findHeader(Attempt.Headers, "Endiverail-Hop"), "POST",
                      "/s/1", Secret));
  transport().answer(Attempt.Id, 200, "held", {{"Endiverail-Outcome", "done"}});
  CHECK(answer(Caller).Body == "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(answer(Again).Body == "held");
}

TEST_CASE_METHOD(traffic_fixture,
                 "a forwarded request is not forwarded again") {
  publish("other", 3);
  send("GET", "/s/1", "", true);
  CHECK(onlyAttempt(*this).Server != "other:1");
}

TEST_CASE_METHOD(traffic_fixture, "a peer's outcome is passed on truthfully") {
  struct row {
    const char *Outcome;
    int Status;
    outcome Told;
  };
  for (const row &Row : {row{"not-run", 503, outcome::NotRun},
                         row{"unknown", 504, outcome::Unknown},
                         row{"done", 200, outcome::Done}}) {
    INFO(Row.Outcome);
    traffic_fixture Fixture;
    Fixture.publish("other", 3);
    auto Caller = Fixture.send("POST", "/s/1");
    Fixture.transport().answer(onlyAttempt(Fixture).Id, Row.Status, "",
                               {{"Endiverail-Outcome", Row.Outcome}});
    CHECK(Fixture.outcomeOf(Caller) == Row.Told);
  }
}

TEST_CASE_METHOD(traffic_fixture,
                 "a backend server can't speak for the fleet") {
  auto Caller = send("POST", "/s/1");
  transport().answer(onlyAttempt(*this).Id, 200, "x",
                     {{"Endiverail-Outcome", "not-run"}});
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture, "a killing request stops at two servers") {
  std::set<std::string> Dead;
  for (int Resent = 0; Resent < 5; ++Resent) {
    send("GET", "/s/killer");
    while (!attempts().empty()) {
      started_attempt Attempt = onlyAttempt(*this);
      Dead.insert(Attempt.Server);
      transport().fail(Attempt.Id, error_kind::BackendCut);
    }
    pass(100ms);
  }
  CHECK(Dead.size() <= 2);
  auto Caller = send("GET", "/s/killer");
  CHECK(findHeader(answer(Caller).Head->Headers, "Endiverail-Error") ==
        "quarantined");
}

TEST_CASE_METHOD(traffic_fixture,
                 "deaths that peers tell of count as one's own") {
  request_fingerprint Killer = fingerprintOf("s", "read", "/s/killer", "");
  tell(server_death{"s", Killer, "x"});
  tell(server_death{"s", Killer, "y"});
  auto Caller = send("GET", "/s/killer");
  CHECK(attempts().empty());
  CHECK(outcomeOf(Caller) == outcome::NotRun);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a read is given up in time for another try") {
  auto Caller = send("GET", "/s/1");
  started_attempt First = onlyAttempt(*this);
  pass(1100ms);
  started_attempt Second = onlyAttempt(*this);
  CHECK(Second.Id != First.Id);
  CHECK(transport().Cancelled == std::vector<attempt_id>{First.Id});
  transport().answer(Second.Id, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(traffic_fixture, "a write that hangs is never sent again") {
  send("POST", "/s/1");
  started_attempt First = onlyAttempt(*this);
  pass(1900ms);
  CHECK(onlyAttempt(*this).Id == First.Id);
}

TEST_CASE_METHOD(traffic_fixture, "work that waits too long is not run") {
  std::vector<std::uint64_t> Callers;
  for (int Count = 0; Count < 30; ++Count)
    Callers.push_back(send("POST", "/s/1"));
  CHECK(attempts().size() == 18);
  pass(2100ms);
  CHECK(outcomeOf(Callers.back()) == outcome::NotRun);
  CHECK(attempts().size() == 18);
}

TEST_CASE_METHOD(traffic_fixture, "a caller who leaves frees what waits") {
  for (int Count = 0; Count < 18; ++Count)
    send("POST", "/s/1");
  auto Waiting = send("POST", "/s/1", key());
  tell(caller_gone{{0, Waiting, 1}});
  transport().answer(attempts().begin()->first, 200, "x");
  CHECK(attempts().size() == 17);
  // Nothing ran, so the key may.
  send("POST", "/s/1", key());
  CHECK(attempts().size() == 18);
}

TEST_CASE_METHOD(traffic_fixture,
                 "a write whose caller has left runs to its end") {
  auto Caller = send("POST", "/s/1", key());
  tell(caller_gone{{0, Caller, 1}});
  transport().answer(onlyAttempt(*this).Id, 200, "held");
  auto Again = send("POST", "/s/1", key());
  CHECK(answer(Again).Body == "held");
}

TEST_CASE_METHOD(traffic_fixture, "a server's word of leaving is told on") {
  send("GET", "/s/1");
  started_attempt Attempt = onlyAttempt(*this);
  transport().answer(Attempt.Id, 200, "x", {{"Endiverail-Leaving", "true"}});
  bool Told = false;
  for (const control_notice &Notice : Notices.Notices)
    if (const auto *Leaving = std::get_if<server_leaving>(&Notice))
      Told |= Leaving->Server == Attempt.Server;
  CHECK(Told);
  for (int Count = 0; Count < 30; ++Count)
    send("GET", "/s/1");
  for (const auto &[Id, Each] : attempts())
    CHECK(Each.Server != Attempt.Server);
}

TEST_CASE_METHOD(shared_traffic_fixture, "what may be retried changes while "
                                         "requests run") {
  // The operator allows none at first.
  auto FailFirst = [&] {
    auto Caller = send("GET", "/s/1");
    transport().fail(attempts().begin()->first, error_kind::BackendCut);
    return Caller;
  };
  FailFirst();
  FailFirst();
  CHECK(attempts().empty());
  tell(retries_changed{{10, 100}});
  auto Caller = FailFirst();
  REQUIRE(attempts().size() == 1);
  transport().answer(attempts().begin()->first, 200, "x");
  CHECK(outcomeOf(Caller) == outcome::Done);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request that was placed at a server which leaves while its "
                 "connection is made goes to another one, as its first "
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
  transport().answer(Second.Id, 200, "ok");
  CHECK(answer(Caller).Body == "ok");
  // No retry was spent on it.
  CHECK(Metrics.text().find("endiverail_retries_total{") == std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request whose caller has gone is not placed again when its "
                 "server leaves") {
  std::uint64_t Caller = send("POST", "/s/x");
  REQUIRE(attempts().size() == 1);
  started_attempt First = attempts().begin()->second;
  tell(caller_gone{{0, Caller, 1}});
  publishLeaving(First.Server);
  CHECK_FALSE(transport().connect(First.Id));
  CHECK(attempts().empty());
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request is sent to no server while nothing confirms what "
                 "is known of the servers") {
  std::string Method = GENERATE("GET", "POST");
  setConfirmed(false);
  std::uint64_t Caller = send(Method, "/s/x");
  CHECK(attempts().empty());
  CHECK_FALSE(answer(Caller).Head);
  setConfirmed(true);
  REQUIRE(attempts().size() == 1);
  transport().answer(attempts().begin()->first, 200, "ok");
  CHECK(answer(Caller).Body == "ok");
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a request whose connection is made while nothing confirms "
                 "what is known of the servers waits, and is sent as its first "
                 "attempt") {
  std::string Method = GENERATE("GET", "POST");
  std::uint64_t Caller = send(Method, "/s/x");
  REQUIRE(attempts().size() == 1);
  setConfirmed(false);
  CHECK_FALSE(transport().connect(attempts().begin()->first));
  CHECK(attempts().empty());
  CHECK_FALSE(answer(Caller).Head);
  setConfirmed(true);
  REQUIRE(attempts().size() == 1);
  attempt_id Second = attempts().begin()->first;
  CHECK(transport().connect(Second));
  transport().answer(Second, 200, "ok");
  CHECK(answer(Caller).Body == "ok");
  CHECK(Metrics.text().find("endiverail_retries_total{") == std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "all servers stay in use after requests were held back") {
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
