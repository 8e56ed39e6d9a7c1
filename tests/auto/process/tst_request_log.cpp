#include "event_capture.h"
#include "traffic_fixture.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a stray answer's line tells whose it is and where it came") {
  event_capture Log;
  auto Caller = send("POST", "/s/1");
  attempt_id Id = attempts().begin()->first;
  CHECK_FALSE(
      transport().head(Id, 203, 2, {{"Endiverail-Attempt", "another"}}));
  auto Failed = Log.lines("attempt_failed");
  REQUIRE(Failed.size() == 1);
  CHECK(Failed[0]["error"] == "foreign-answer");
  CHECK(Failed[0]["rejected_status"] == 203);
  CHECK(Failed[0]["rejected_identifier"] == "another");
  CHECK(Failed[0]["caller_connection"] == Caller);
  CHECK(Failed[0].contains("server_connection"));
  CHECK(Failed[0].contains("unasked_bytes"));
  CHECK(Metrics.text().find("endiverail_foreign_answers_total{service=\"s\"} "
                            "1\n") != std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a discarded connection is told and counts for no attempt") {
  event_capture Log;
  auto Caller = send("POST", "/s/1");
  attempt_id Id = attempts().begin()->first;
  CHECK(transport().head(Id, 200, 0));
  attempt_end End;
  End.Discarded = attempt_connection{7, 3, milliseconds(40), 12};
  transport().end(Id, End);
  CHECK(response(Caller).Head->Status == 200);
  CHECK(Log.lines("attempt_failed").empty());
  auto Discarded = Log.lines("connection_discarded");
  REQUIRE(Discarded.size() == 1);
  CHECK(Discarded[0]["server_connection"] == 7);
  CHECK(Discarded[0]["earlier_attempts"] == 3);
  CHECK(Discarded[0]["unasked_bytes"] == 12);
  CHECK(Discarded[0]["caller_connection"] == Caller);
  CHECK(Metrics.text().find(
            "endiverail_discarded_connections_total{service=\"s\"} 1\n") !=
        std::string::npos);
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "an error's line tells whether the request was sent, and why "
                 "it is not sent again") {
  event_capture Log;
  send("POST", "/s/1");
  transport().fail(attempts().begin()->first, error_kind::BackendMalformed);
  auto Answered = Log.lines("error_answered");
  REQUIRE(Answered.size() == 1);
  CHECK(Answered[0]["status"] == 502);
  CHECK(Answered[0]["may_have_run"] == true);
  CHECK(Answered[0]["not_retried"] == "may-have-run");
}

TEST_CASE_METHOD(shared_traffic_fixture,
                 "a response that is passed on is logged on debug level") {
  event_capture Log;
  auto Caller = send("GET", "/s/1");
  transport().respond(attempts().begin()->first, 200, "body");
  auto PassedOn = Log.lines("response_passed_on");
  REQUIRE(PassedOn.size() == 1);
  CHECK(PassedOn[0]["status"] == 200);
  CHECK(PassedOn[0]["caller_connection"] == Caller);
  CHECK(PassedOn[0].contains("server_connection"));
}
