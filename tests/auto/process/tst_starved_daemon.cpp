#include "deployment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a daemon that is short of CPU time and stops receiving datagrams "
          "learns in time that a server is leaving or removed") {
  struct row {
    std::size_t Daemons;
    milliseconds Bound;
    milliseconds Pause;
  };
  // The users' time limits, and the longest delay of a control thread that was
  // measured.
  auto Row = GENERATE(row{44, 2'000ms, 640ms}, row{111, 2'500ms, 640ms});
  bool Removed = GENERATE(false, true);
  deployment Fleet(Row.Daemons);
  bool DropDatagrams = false;
  Fleet.DropsDatagram = [&](std::size_t Index) {
    return DropDatagrams && Index == Fleet.NonReader;
  };
  Fleet.setStarved(Fleet.NonReader, Row.Pause);
  std::size_t Withdrawn = 0;
  // When the server announces that it is leaving, relative to the turns of the
  // control thread.
  for (milliseconds Phase : {0ms, 160ms, 320ms, 480ms, 630ms}) {
    INFO(Row.Daemons << " daemons, " << Phase.count() << " ms into the pause, "
                     << (Removed ? "gone" : "leaving"));
    Fleet.setStarved(Fleet.NonReader, Row.Pause);
    Fleet.advance(5 * Row.Pause + Phase);
    DropDatagrams = true;
    Fleet.withdrawServer(Withdrawn++, Removed);
    Fleet.advance(Row.Bound);
    CHECK(Fleet.usableServersAt(Fleet.NonReader) ==
          deployment::ServerCount - Withdrawn);
    DropDatagrams = false;
  }
}
