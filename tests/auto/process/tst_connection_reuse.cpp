#include "process/connection_reuse.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

TEST_CASE("pooled connections are used again some time after they were stale") {
  connection_reuse Connections;
  steady_time Now{1h};
  auto Choose = [&](std::string_view Server) {
    return Connections.choose(Server, true, Now);
  };
  CHECK(Choose("a") == connection_choice::Reuse);
  CHECK(Connections.choose("a", false, Now) == connection_choice::Fresh);
  Connections.onStale("a", Now);
  CHECK(Choose("a") == connection_choice::Fresh);
  CHECK(Choose("b") == connection_choice::Reuse);
  Connections.onStale("b", Now + 1s);
  CHECK(Choose("c") == connection_choice::Fresh);
  Now += connection_reuse::FreshFor;
  CHECK(Choose("a") == connection_choice::Reuse);
  CHECK(Choose("b") == connection_choice::Fresh);
  CHECK(Choose("c") == connection_choice::Reuse);
}
