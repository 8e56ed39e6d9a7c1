#include "process/statement_retransmitter.h"

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

TEST_CASE("only statements that withdraw a server are retransmitted, for a "
          "limited time") {
  struct row {
    std::string What;
    server_statement Statement;
    bool Retransmitted;
  };
  auto Row =
      GENERATE(row{"ready", statement("a", server_state::Live), false},
               row{"leaving", statement("a", server_state::Leaving), true},
               row{"gone", statement("a", server_state::Live, true), true});
  INFO(Row.What);
  statement_retransmitter Retransmitter;
  steady_time Now{1h};
  CHECK(Retransmitter.nextBatch({Row.Statement}, Now).size() == 1);
  CHECK(Retransmitter.nextBatch({}, Now + 500ms).size() ==
        (Row.Retransmitted ? 1U : 0U));
  CHECK(Retransmitter.nextBatch({}, Now + 1s).size() ==
        (Row.Retransmitted ? 1U : 0U));
  CHECK(Retransmitter
            .nextBatch({}, Now + statement_retransmitter::RetransmitFor + 1ms)
            .empty());
}

TEST_CASE("a newer statement ends the retransmission of an earlier one") {
  statement_retransmitter Retransmitter;
  steady_time Now{1h};
  Retransmitter.nextBatch({statement("a", server_state::Live, true)}, Now);
  Retransmitter.nextBatch({statement("a", server_state::Live)}, Now + 100ms);
  CHECK(Retransmitter.nextBatch({}, Now + 200ms).empty());
}
