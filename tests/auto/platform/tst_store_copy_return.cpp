#include "platform_fixture.h"

#include <chrono>
#include <memory>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// Within which a confirmed configuration has to be in force.
constexpr milliseconds PropagationBound = 2'000ms;

/// Daemons that have taken version 9 from a store.
struct followed_store : platform_fixture {
  followed_store() {
    REQUIRE(eventually([&] { return isReady(First) && isReady(Second); }));
    Store->append("keyed.op", "config", configurationOfVersion(8));
    Store->append("keyed.op", "config", configurationOfVersion(9));
    REQUIRE(eventually([&] { return isInForce(First, 9); }));
    REQUIRE(eventually([&] { return isInForce(Second, 9); }));
  }

  std::unique_ptr<daemon> One = start(First, Store->endpoint(), Second);
  std::unique_ptr<daemon> Other = start(Second, Store->endpoint(), First);
};

} // namespace

TEST_CASE_METHOD(followed_store,
                 "a version at an offset that the store gives out again after "
                 "its return from an older copy comes into force") {
  std::size_t Appends = Store->appends();
  steady_time Returned = steadyNow();
  Store->returnWithout("keyed.op", 2, {"config", "config"},
                       {configurationOfVersion(9), configurationOfVersion(11)});
  for (const std::string &Host : {First, Second})
    CHECK(eventually([&] { return isInForce(Host, 11); }));
  CHECK(steadyNow() - Returned < PropagationBound);
  // The daemon that reads tells the others of itself again.
  CHECK(eventually([&] { return Store->appends() > Appends; }));
}

TEST_CASE_METHOD(followed_store,
                 "a store that has returned from an older copy does not take a "
                 "configuration back") {
  Store->returnWithout("keyed.op", 2, {}, {});
  for (int Look = 0; Look < 40; ++Look) {
    CHECK(isInForce(First, 9));
    poll(nullptr, 0, 25);
  }
  Store->append("keyed.op", "config", configurationOfVersion(12));
  for (const std::string &Host : {First, Second})
    CHECK(eventually([&] { return isInForce(Host, 12); }));
}
