#include "base/error_kind.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endiverail;

TEST_CASE("each error kind has one row with a name of its own") {
  std::set<std::string_view> Names;
  for (const error_answer &Answer : errorAnswers()) {
    CHECK(&errorAnswer(Answer.Kind) == &Answer);
    CHECK(Names.insert(Answer.Name).second);
    CHECK(Answer.Status >= 400);
  }
}

TEST_CASE("errors after a request may have reached a server are unknown") {
  for (error_kind Kind :
       {error_kind::BackendTimeout, error_kind::BackendCut,
        error_kind::BackendMalformed, error_kind::ForeignAnswer,
        error_kind::PeerLost, error_kind::KeyExpired, error_kind::KeyInProgress,
        error_kind::Internal})
    CHECK(errorAnswer(Kind).Outcome == outcome::Unknown);
}

TEST_CASE("outcome names lead back to the outcome") {
  for (outcome Outcome : {outcome::Done, outcome::NotRun, outcome::Unknown})
    CHECK(outcomeFromName(outcomeName(Outcome)) == Outcome);
  CHECK(outcomeFromName("nonsense") == outcome::Unknown);
}
