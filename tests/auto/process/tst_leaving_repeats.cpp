#include "process/leaving_repeats.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

server_statement statement(std::string Id, server_state State,
                           bool Removed = false) {
  server_statement Statement;
  Statement.Id = std::move(Id);
  Statement.Entry.Server.State = State;
  Statement.Removed = Removed;
  return Statement;
}

} // namespace

TEST_CASE(
    "only what takes work from a server is told again, and not for ever") {
  struct row {
    std::string What;
    server_statement Statement;
    bool Again;
  };
  auto Row =
      GENERATE(row{"ready", statement("a", server_state::Live), false},
               row{"leaving", statement("a", server_state::Leaving), true},
               row{"gone", statement("a", server_state::Live, true), true});
  INFO(Row.What);
  leaving_repeats Repeats;
  steady_time Now{1h};
  CHECK(Repeats.next({Row.Statement}, Now).size() == 1);
  CHECK(Repeats.next({}, Now + 500ms).size() == (Row.Again ? 1U : 0U));
  CHECK(Repeats.next({}, Now + 1s).size() == (Row.Again ? 1U : 0U));
  CHECK(Repeats.next({}, Now + leaving_repeats::RepeatFor + 1ms).empty());
}

TEST_CASE("an earlier statement is not told again after a newer one") {
  leaving_repeats Repeats;
  steady_time Now{1h};
  Repeats.next({statement("a", server_state::Live, true)}, Now);
  Repeats.next({statement("a", server_state::Live)}, Now + 100ms);
  CHECK(Repeats.next({}, Now + 200ms).empty());
}
