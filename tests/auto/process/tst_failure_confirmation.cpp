#include "process/failure_confirmation.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

} // namespace

TEST_CASE("results of other proxies decide whether a failure is confirmed") {
  using enum opinion_verdict;
  struct row {
    const char *What;
    double FailingShare;
    std::vector<bool> Found;
    opinion_verdict Verdict;
  };
  const row Rows[]{
      {"no result yet", 1, {}, Open},
      {"fails there too", 1, {false}, Confirmed},
      {"one success there", 1, {true}, Open},
      {"two successes there", 1, {true, true}, Contradicted},
      {"half of the requests fail: a few successes are not conclusive",
       0.5,
       {true, true, true},
       Open},
      {"half of the requests fail, and one fails there too",
       0.5,
       {true, false},
       Confirmed},
      {"half of the requests fail, but only here", 0.5,
       std::vector<bool>(8, true), Contradicted},
      {"later results are ignored", 1, {true, true, false}, Contradicted},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    failure_confirmation Opinions;
    CHECK(Opinions.verdict("a", Row.FailingShare, Now) == Open);
    CHECK(Opinions.nextServerToTry(Now) == "a");
    for (bool Succeeded : Row.Found)
      Opinions.addResult("a", Succeeded);
    CHECK(Opinions.verdict("a", Row.FailingShare, Now) == Row.Verdict);
    CHECK(Opinions.nextServerToTry(Now).has_value() == (Row.Verdict == Open));
  }
}

TEST_CASE("without results of other proxies the local ones decide") {
  failure_confirmation Opinions;
  Opinions.verdict("a", 1, Now);
  CHECK(Opinions.verdict("a", 1, Now + 1'000ms) == opinion_verdict::Open);
  CHECK(Opinions.verdict("a", 1, Now + 2'000ms) == opinion_verdict::Confirmed);
  Opinions.verdict("c", 1, Now);
  Opinions.onTryStarted("c", Now + 1'000ms);
  CHECK(Opinions.verdict("c", 1, Now + 2'000ms) == opinion_verdict::Open);
  for (milliseconds Asked = 2'000ms; Asked < 7'000ms; Asked += 500ms)
    Opinions.onTryStarted("c", Now + Asked);
  CHECK(Opinions.verdict("c", 1, Now + 7'000ms) == opinion_verdict::Confirmed);
}

TEST_CASE("a failure is not confirmed at once while no other proxy is "
          "available for a moment") {
  failure_confirmation Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.onNoPeerAvailable("a", Now);
  CHECK(Opinions.verdict("a", 1, Now) == opinion_verdict::Open);
  // Other servers are tried meanwhile.
  CHECK_FALSE(Opinions.nextServerToTry(Now + 10ms));
  Opinions.verdict("b", 1, Now + 10ms);
  CHECK(Opinions.nextServerToTry(Now + 10ms) == "b");
  CHECK(Opinions.nextServerToTry(Now + 50ms) == "a");
  Opinions.onNoPeerAvailable("a", Now + 1'400ms);
  CHECK(Opinions.verdict("a", 1, Now + 1'499ms) == opinion_verdict::Open);
  CHECK(Opinions.verdict("a", 1, Now + 1'500ms) == opinion_verdict::Confirmed);
}

TEST_CASE("a server that works for another proxy is not confirmed as failing "
          "when that proxy is not available for a moment") {
  failure_confirmation Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.onTryStarted("a", Now);
  Opinions.addResult("a", true);
  Opinions.onNoPeerAvailable("a", Now + 60ms);
  CHECK(Opinions.verdict("a", 1, Now + 1'000ms) == opinion_verdict::Open);
  CHECK(Opinions.nextServerToTry(Now + 1'000ms) == "a");
  Opinions.onTryStarted("a", Now + 1'000ms);
  Opinions.addResult("a", true);
  CHECK(Opinions.verdict("a", 1, Now + 1'100ms) ==
        opinion_verdict::Contradicted);
}

TEST_CASE(
    "tries are spaced, and an inquiry ends when the server no longer fails") {
  failure_confirmation Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.onTryStarted("a", Now);
  CHECK_FALSE(Opinions.nextServerToTry(Now + 10ms));
  CHECK(Opinions.nextServerToTry(Now + 100ms) == "a");
  Opinions.addResult("a", false);
  Opinions.retainOnly({}, Now);
  CHECK(Opinions.verdict("a", 1, Now) == opinion_verdict::Open);
}

TEST_CASE(
    "a contradiction stays valid for a while when the server no longer fails") {
  failure_confirmation Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.addResult("a", true);
  Opinions.addResult("a", true);
  Opinions.retainOnly({}, Now + 10s);
  CHECK(Opinions.verdict("a", 1, Now + 10s) == opinion_verdict::Contradicted);
  Opinions.retainOnly({}, Now + 40s);
  CHECK(Opinions.verdict("a", 1, Now + 40s) == opinion_verdict::Open);
}
