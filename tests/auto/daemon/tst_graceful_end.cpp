#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE_METHOD(fleet_fixture, "a graceful end cuts nothing off") {
  // Shorter than the fixture's drain timeout and long enough for an
  // instrumented build on a busy machine: a caller that misses its answer has
  // been cut off by the drain and not by its own timeout.
  constexpr milliseconds Timeout{9'000};
  makeReady(serviceText(2, Timeout));
  order({{"target", "server"}, {"pool", "shop"}, {"fault", "slow"}});
  std::atomic<int> Whole = 0;
  std::vector<std::thread> Callers;
  for (int Count = 0; Count < 12; ++Count)
    Callers.emplace_back([&, Count] {
      std::string Id = "drain-" + std::to_string(Count);
      std::string Answer =
          raw(0, request(Count % 2 ? "GET" : "POST",
                         Count % 2 ? "/shop/items/1?bytes=500000"
                                   : "/shop/orders?bytes=500000",
                         Id));
      Whole += Answer.ends_with("\r\n\r\n" + answerContent(Id, 0, 500'000));
    });
  poll(nullptr, 0, 30);
  Daemons[0]->drain();
  Daemons[0].reset();
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Whole == 12);
  CHECK(eventually([&] { return status(1)["members"].size() == 2; }));
}
