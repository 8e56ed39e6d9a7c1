#include "failure_check.h"
#include "platform/caller_dialect.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;
using platform::caller_dialect;

namespace {

using fields = std::vector<header_field>;

const header_field Id{"Endiverail-Attempt-Identifier", "id-1"};
const header_field Signed{"Endiverail-Response-Signature", "sig"};
const header_field NotExecuted{"Endiverail-Request-Not-Executed", "1"};

std::optional<std::string> valueIn(const fields &Fields,
                                   std::string_view Name) {
  auto Found = std::ranges::find(Fields, Name, &header_field::Name);
  return Found == Fields.end() ? std::nullopt : std::optional(Found->Value);
}

} // namespace

TEST_CASE("targets' answers are judged by their marks") {
  using enum error_kind;
  struct row {
    const char *What;
    int Status;
    fields Fields;
    bool MayRetry;
    std::optional<error_kind> Refused;
    bool ServerFailed;
    bool Leaving;
  };
  const row Rows[]{
      {"a signed success", 200, {Id, Signed}, true, {}, false, false},
      {"a signed rejection", 404, {Id, Signed}, true, {}, false, false},
      {"a success without signature",
       200,
       {Id},
       false,
       BackendMalformed,
       false,
       false},
      {"a success that names no request",
       200,
       {Signed},
       false,
       ForeignAnswer,
       false,
       false},
      {"the answer to another request",
       200,
       {{Id.Name, "id-2"}, Signed},
       false,
       ForeignAnswer,
       false,
       false},
      {"an encoded body",
       200,
       {Id, Signed, {"Content-Encoding", "gzip"}},
       false,
       BackendMalformed,
       false,
       false},
      {"a failure, with a retry left",
       500,
       {Id, Signed},
       true,
       BackendError,
       true,
       false},
      {"a failure, with none left", 500, {Id, Signed}, false, {}, true, false},
      {"a failure without signature",
       500,
       {Id},
       false,
       BackendMalformed,
       false,
       false},
      {"two names of requests, the own one first",
       200,
       {Id, {Id.Name, "id-2"}, Signed},
       true,
       ForeignAnswer,
       false,
       false},
      {"a refusal with two names",
       503,
       {Id, {Id.Name, "id-0"}, NotExecuted},
       true,
       ForeignAnswer,
       false,
       false},
      {"two signatures",
       200,
       {Id, Signed, {Signed.Name, "another"}},
       true,
       BackendMalformed,
       false,
       false},
      {"a deadline that was met", 504, {Id, Signed}, true, {}, false, false},
      {"a full server",
       503,
       {Id, NotExecuted},
       true,
       BackendShed,
       false,
       false},
      {"a server that limits",
       429,
       {Id, NotExecuted},
       true,
       BackendShed,
       false,
       false},
      {"the refusal of an earlier request, written once more",
       503,
       {{Id.Name, "id-0"}, NotExecuted},
       true,
       ForeignAnswer,
       false,
       false},
      {"a limit that an earlier request met, written once more",
       429,
       {{Id.Name, "id-0"}, NotExecuted},
       false,
       ForeignAnswer,
       false,
       false},
      {"a refusal that names no request",
       503,
       {NotExecuted},
       true,
       ForeignAnswer,
       false,
       false},
      {"503 without the word that it was not run",
       503,
       {Id, Signed},
       false,
       {},
       true,
       false},
      {"another server at the address",
       421,
       {Id},
       true,
       BackendShed,
       false,
       true},
      {"an earlier request's word of another server, written once more",
       421,
       {{Id.Name, "id-0"}, NotExecuted},
       true,
       ForeignAnswer,
       false,
       false},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Judged = caller_dialect::classify({Row.Status, Row.Fields, {}}, "id-1",
                                           Row.MayRetry);
    CHECK(Judged.Error == Row.Refused);
    CHECK(Judged.ServerFailed == Row.ServerFailed);
    CHECK(Judged.Leaving == Row.Leaving);
  }
}

TEST_CASE("a target leaves if an answer that names the request says so") {
  using enum error_kind;
  const header_field Leaving{"Server-Leaving", "1"};
  auto WithValue = [](std::string Value) {
    return fields{Id, Signed, {"Server-Leaving", std::move(Value)}};
  };
  struct row {
    const char *What;
    int Status;
    fields Fields;
    std::optional<error_kind> Refused;
    bool Leaving;
  };
  const row Rows[]{
      {"a success", 200, {Id, Signed, Leaving}, {}, true},
      {"a success, the name in other letters",
       200,
       {Id, Signed, {"server-leaving", "1"}},
       {},
       true},
      {"a rejection", 404, {Id, Signed, Leaving}, {}, true},
      {"a failure", 500, {Id, Signed, Leaving}, BackendError, true},
      {"a deadline that was met", 504, {Id, Signed, Leaving}, {}, true},
      {"a full server", 503, {Id, NotExecuted, Leaving}, BackendShed, true},
      {"a server that limits",
       429,
       {Id, NotExecuted, Leaving},
       BackendShed,
       true},
      {"another server at the address", 421, {Id, Leaving}, BackendShed, true},
      {"a success without signature",
       200,
       {Id, Leaving},
       BackendMalformed,
       true},
      {"the answer to another request",
       200,
       {{Id.Name, "id-0"}, Signed, Leaving},
       ForeignAnswer,
       false},
      {"a refusal that names no request",
       503,
       {NotExecuted, Leaving},
       ForeignAnswer,
       false},
      {"no word of it", 200, {Id, Signed}, {}, false},
      {"no value", 200, WithValue(""), {}, false},
      {"zero", 200, WithValue("0"), {}, false},
      {"a word", 200, WithValue("true"), {}, false},
      {"a longer number", 200, WithValue("10"), {}, false},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Judged =
        caller_dialect::classify({Row.Status, Row.Fields, {}}, "id-1", true);
    CHECK(Judged.Error == Row.Refused);
    CHECK(Judged.Leaving == Row.Leaving);
  }
}

TEST_CASE("how long a target wants no requests") {
  struct row {
    const char *What;
    int Status;
    fields Fields;
    std::optional<milliseconds> Pause;
    std::string Unreadable;
  };
  auto Refusal = [](std::string Time) {
    return fields{Id, NotExecuted, {"Retry-After", std::move(Time)}};
  };
  const row Rows[]{
      {"seconds", 503, Refusal("3"), 3s, ""},
      {"a fraction", 503, Refusal("1.5"), 1'500ms, ""},
      {"a small fraction", 503, Refusal("0.0004"), 1ms, ""},
      {"spaces around it", 503, Refusal(" 2 "), 2s, ""},
      {"no time at all", 503, {Id, NotExecuted}, {}, ""},
      {"zero", 503, Refusal("0"), {}, ""},
      {"zero, with a fraction", 503, Refusal("0.000"), {}, ""},
      {"hours", 503, Refusal("86400"), 1h, ""},
      {"more than a number holds", 503, Refusal(std::string(400, '9')), 1h, ""},
      {"a negative time", 503, Refusal("-1"), {}, "-1"},
      {"an exponent", 503, Refusal("1e3"), {}, "1e3"},
      {"infinity", 503, Refusal("inf"), {}, "inf"},
      {"not a number", 503, Refusal("nan"), {}, "nan"},
      {"two points", 503, Refusal("1.2.3"), {}, "1.2.3"},
      {"a point alone", 503, Refusal("."), {}, "."},
      {"a unit", 503, Refusal("3s"), {}, "3s"},
      {"an empty value", 503, Refusal(""), {}, "(empty)"},
      {"a date",
       503,
       Refusal("Sun, 06 Dec 2026 04:18:20 GMT"),
       {},
       "Sun, 06 Dec 2026 04:18:20 GMT"},
      {"a name in small letters",
       503,
       {Id, NotExecuted, {"retry-after", "2"}},
       2s,
       ""},
      {"without the word that it was not run",
       503,
       {Id, Signed, {"Retry-After", "2"}},
       2s,
       ""},
      {"with neither word nor signature",
       503,
       {Id, {"Retry-After", "2"}},
       2s,
       ""},
      {"a limit", 429, Refusal("2"), {}, ""},
      {"a success", 200, {Id, Signed, {"Retry-After", "2"}}, {}, ""},
      {"another server at the address", 421, Refusal("2"), {}, ""},
      {"the refusal of an earlier request, written once more",
       503,
       {{Id.Name, "id-0"}, NotExecuted, {"Retry-After", "2"}},
       {},
       ""},
      {"a refusal that names no request",
       503,
       {NotExecuted, {"Retry-After", "2"}},
       {},
       ""},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Judged =
        caller_dialect::classify({Row.Status, Row.Fields, {}}, "id-1", true);
    CHECK(Judged.Pause == Row.Pause);
    CHECK(Judged.UnreadablePause == Row.Unreadable);
  }
}

TEST_CASE("a target sees the client's fields and the system's own") {
  caller_request Request;
  Request.Headers = {Id,
                     {"Host", "h"},
                     {"X-Own", "1"},
                     {"Connection", "keep-alive, X-Hop"},
                     {"X-Hop", "1"},
                     {"Content-Length", "3"},
                     {"Endiverail-Deadline-Milliseconds", "4000"},
                     {"Endiverail-Expected-Instance", "forged"}};
  attempt_sender Sender;
  fields Sent =
      caller_dialect::serverFields({Sender, Request, 1, "i-1", 1234ms});
  CHECK(valueIn(Sent, Id.Name) == "id-1");
  CHECK(valueIn(Sent, "Host") == "h");
  CHECK(valueIn(Sent, "X-Own") == "1");
  CHECK_FALSE(valueIn(Sent, "X-Hop"));
  CHECK_FALSE(valueIn(Sent, "Content-Length"));
  CHECK(valueIn(Sent, "Endiverail-Deadline-Milliseconds") == "1234");
  CHECK(valueIn(Sent, "Endiverail-Expected-Instance") == "i-1");
  CHECK(Sent.size() == 5);
}

TEST_CASE("what a client says of its request") {
  struct row {
    const char *What;
    fields Fields;
    std::optional<std::string> Host;
    std::optional<milliseconds> TimeLeft;
  };
  const row Rows[]{
      {"all of it",
       {{"Host", "Jepu9.Example:80"},
        {"endiverail-deadline-milliseconds", "250"}},
       "jepu9.example",
       250ms},
      {"nothing", {}, "", {}},
      {"no time left",
       {{"Host", "h"}, {"Endiverail-Deadline-Milliseconds", "0"}},
       "h",
       0ms},
      {"a negative time",
       {{"Host", "h"}, {"Endiverail-Deadline-Milliseconds", "-1"}},
       {},
       {}},
      {"a time that is no number",
       {{"Host", "h"}, {"Endiverail-Deadline-Milliseconds", "soon"}},
       {},
       {}},
      {"more time than there is",
       {{"Host", "h"},
        {"Endiverail-Deadline-Milliseconds", "18446744073709551615"}},
       "h",
       1h},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Read = [&] { return caller_dialect::wordsOf(Row.Fields); };
    CHECK(failureOf(Read).has_value() == !Row.Host.has_value());
    if (!Row.Host)
      continue;
    auto Words = valueFrom(Read);
    CHECK(Words.Host == *Row.Host);
    CHECK(Words.TimeLeft == Row.TimeLeft);
  }
}

TEST_CASE("only one access key is taken from a request") {
  auto KeyOf = [](const fields &Fields) {
    return valueFrom([&] { return caller_dialect::wordsOf(Fields); }).AccessKey;
  };
  CHECK(KeyOf({Id}).empty());
  CHECK(KeyOf({Id, {"endiverail-KEY", "k"}}) == "k");
  CHECK(KeyOf({{"Endiverail-Key", "k"}, {"endiverail-key", "k"}}).empty());
}

TEST_CASE("neither a key nor a name of the caller's own stays in a request") {
  fields Fields{Id,
                {"Endiverail-Key", "k"},
                {"ENDIVERAIL-TENANT-NAME", "o"},
                {"Accept", "*"}};
  caller_dialect::removeIdentity(Fields);
  REQUIRE(Fields.size() == 2);
  CHECK(Fields[0].Name == Id.Name);
  CHECK(Fields[1].Name == "Accept");
}

TEST_CASE("refusals for the quota carry a time to return") {
  response_head Head =
      caller_dialect::errorResponseHead(error_kind::QuotaExceeded, 1250ms);
  CHECK(Head.Status == 429);
  CHECK(valueIn(Head.Headers, "Retry-After") == "1.250");
  Head = caller_dialect::errorResponseHead(error_kind::UnknownAccessKey, 1s);
  CHECK(Head.Status == 401);
  CHECK_FALSE(valueIn(Head.Headers, "Retry-After"));
}

TEST_CASE("refusals that promise nothing was run carry a time to return") {
  for (error_kind Kind :
       {error_kind::QueueFull, error_kind::NotReady, error_kind::Draining,
        error_kind::DeadlineBeforeRun, error_kind::BackendShed}) {
    response_head Head = caller_dialect::errorResponseHead(Kind, 1250ms);
    CHECK(Head.Status == 503);
    CHECK(valueIn(Head.Headers, "Retry-After") == "1.250");
  }
  for (error_kind Kind : {error_kind::BackendCut, error_kind::BackendTimeout,
                          error_kind::BackendMalformed}) {
    response_head Head = caller_dialect::errorResponseHead(Kind, 1250ms);
    CHECK((Head.Status == 502 || Head.Status == 504));
    CHECK_FALSE(valueIn(Head.Headers, "Retry-After"));
  }
  response_head Killer =
      caller_dialect::errorResponseHead(error_kind::Quarantined, 1s);
  CHECK(Killer.Status == 503);
  CHECK_FALSE(valueIn(Killer.Headers, "Retry-After"));
}

TEST_CASE("questions for addresses and for readiness are told apart") {
  auto Question = caller_dialect::addressQuestion(
      "/-/resolve?name=Jepu9.example&region=r&zone=zg-a");
  REQUIRE(Question);
  CHECK(Question->Host == "jepu9.example");
  CHECK(Question->Region == "r");
  CHECK(Question->DataCentre == "zg-a");
  CHECK(caller_dialect::addressQuestion("/-/resolve"));
  CHECK_FALSE(caller_dialect::addressQuestion("/-/readiness"));
  CHECK(caller_dialect::isReadinessCall("/-/readiness?x=1"));
  CHECK_FALSE(caller_dialect::isReadinessCall("/-/ready"));
  std::vector<std::string> Addresses{"10.0.0.1:80", "10.0.0.2:80"};
  auto Answer =
      nlohmann::json::parse(caller_dialect::addressAnswer(Addresses, 1500ms));
  CHECK(Answer["addresses"].size() == 2);
  CHECK(Answer["ttl-s"] == 1.5);
}
