#include "process/second_opinions.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

} // namespace

TEST_CASE("others' findings decide about a server that fails from here") {
  using enum opinion_verdict;
  struct row {
    const char *What;
    double FailingShare;
    std::vector<bool> Found;
    opinion_verdict Verdict;
  };
  const row Rows[]{
      {"no finding yet", 1, {}, Open},
      {"fails there too", 1, {false}, Confirmed},
      {"well there, once", 1, {true}, Open},
      {"well there", 1, {true, true}, Contradicted},
      {"half of the work fails: one good answer says little",
       0.5,
       {true, true, true},
       Open},
      {"half of the work fails, and there too", 0.5, {true, false}, Confirmed},
      {"half of the work fails, here alone", 0.5, std::vector<bool>(8, true),
       Contradicted},
      {"what comes later changes nothing",
       1,
       {true, true, false},
       Contradicted},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    second_opinions Opinions;
    CHECK(Opinions.verdict("a", Row.FailingShare, Now) == Open);
    CHECK(Opinions.due(Now) == "a");
    for (bool Good : Row.Found)
      Opinions.note("a", Good);
    CHECK(Opinions.verdict("a", Row.FailingShare, Now) == Row.Verdict);
    CHECK(Opinions.due(Now).has_value() == (Row.Verdict == Open));
  }
}

TEST_CASE("without an opinion the evidence from here has to do") {
  second_opinions Opinions;
  Opinions.verdict("a", 1, Now);
  CHECK(Opinions.verdict("a", 1, Now + 1'000ms) == opinion_verdict::Open);
  CHECK(Opinions.verdict("a", 1, Now + 2'000ms) == opinion_verdict::Confirmed);
  Opinions.verdict("c", 1, Now);
  Opinions.onAsked("c", Now + 1'000ms);
  CHECK(Opinions.verdict("c", 1, Now + 2'000ms) == opinion_verdict::Open);
  for (milliseconds Asked = 2'000ms; Asked < 7'000ms; Asked += 500ms)
    Opinions.onAsked("c", Now + Asked);
  CHECK(Opinions.verdict("c", 1, Now + 7'000ms) == opinion_verdict::Confirmed);
  Opinions.verdict("b", 1, Now);
  Opinions.nobodyToAsk("b");
  CHECK(Opinions.verdict("b", 1, Now) == opinion_verdict::Confirmed);
}

TEST_CASE("questions are spaced, and forgotten with the evidence") {
  second_opinions Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.onAsked("a", Now);
  CHECK_FALSE(Opinions.due(Now + 10ms));
  CHECK(Opinions.due(Now + 100ms) == "a");
  Opinions.note("a", false);
  Opinions.keepOnly({}, Now);
  CHECK(Opinions.verdict("a", 1, Now) == opinion_verdict::Open);
}

TEST_CASE("a contradiction holds for a while without evidence") {
  second_opinions Opinions;
  Opinions.verdict("a", 1, Now);
  Opinions.note("a", true);
  Opinions.note("a", true);
  Opinions.keepOnly({}, Now + 10s);
  CHECK(Opinions.verdict("a", 1, Now + 10s) == opinion_verdict::Contradicted);
  Opinions.keepOnly({}, Now + 40s);
  CHECK(Opinions.verdict("a", 1, Now + 40s) == opinion_verdict::Open);
}
