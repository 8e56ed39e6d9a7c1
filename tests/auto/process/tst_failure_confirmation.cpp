#include "process/failure_confirmation.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

} // namespace

TEST_CASE("results of other proxies decide whether a failure is confirmed") {
  using enum confirmation_result;
  struct row {
    const char *What;
    double FailureRate;
    std::vector<bool> Found;
    confirmation_result Result;
  };
  const row Rows[]{
      {"no result yet", 1, {}, Pending},
      {"fails there too", 1, {false}, Confirmed},
      {"one success there", 1, {true}, Pending},
      {"two successes there", 1, {true, true}, Contradicted},
      {"half of the requests fail: a few successes are not conclusive",
       0.5,
       {true, true, true},
       Pending},
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
    failure_confirmation Confirmation;
    CHECK(Confirmation.check("a", Row.FailureRate, Now) == Pending);
    CHECK(Confirmation.nextServerToTry(Now) == "a");
    for (bool Succeeded : Row.Found)
      Confirmation.addResult("a", Succeeded);
    CHECK(Confirmation.check("a", Row.FailureRate, Now) == Row.Result);
    CHECK(Confirmation.nextServerToTry(Now).has_value() ==
          (Row.Result == Pending));
  }
}

TEST_CASE("without results of other proxies the local ones decide") {
  failure_confirmation Confirmation;
  Confirmation.check("a", 1, Now);
  CHECK(Confirmation.check("a", 1, Now + 1'000ms) ==
        confirmation_result::Pending);
  CHECK(Confirmation.check("a", 1, Now + 2'000ms) ==
        confirmation_result::Confirmed);
  Confirmation.check("c", 1, Now);
  Confirmation.onTryStarted("c", Now + 1'000ms);
  CHECK(Confirmation.check("c", 1, Now + 2'000ms) ==
        confirmation_result::Pending);
  for (milliseconds Asked = 2'000ms; Asked < 7'000ms; Asked += 500ms)
    Confirmation.onTryStarted("c", Now + Asked);
  CHECK(Confirmation.check("c", 1, Now + 7'000ms) ==
        confirmation_result::Confirmed);
  Confirmation.check("b", 1, Now);
  Confirmation.onNoPeerAvailable("b");
  CHECK(Confirmation.check("b", 1, Now) == confirmation_result::Confirmed);
}

TEST_CASE(
    "tries are spaced, and an inquiry ends when the server no longer fails") {
  failure_confirmation Confirmation;
  Confirmation.check("a", 1, Now);
  Confirmation.onTryStarted("a", Now);
  CHECK_FALSE(Confirmation.nextServerToTry(Now + 10ms));
  CHECK(Confirmation.nextServerToTry(Now + 100ms) == "a");
  Confirmation.addResult("a", false);
  Confirmation.retainOnly({}, Now);
  CHECK(Confirmation.check("a", 1, Now) == confirmation_result::Pending);
}

TEST_CASE(
    "a contradiction stays valid for a while when the server no longer fails") {
  failure_confirmation Confirmation;
  Confirmation.check("a", 1, Now);
  Confirmation.addResult("a", true);
  Confirmation.addResult("a", true);
  Confirmation.retainOnly({}, Now + 10s);
  CHECK(Confirmation.check("a", 1, Now + 10s) ==
        confirmation_result::Contradicted);
  Confirmation.retainOnly({}, Now + 40s);
  CHECK(Confirmation.check("a", 1, Now + 40s) == confirmation_result::Pending);
}
