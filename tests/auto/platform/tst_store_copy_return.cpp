#include "platform_fixture.h"

#include <chrono>
#include <memory>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// Within which a confirmed configuration has to be in force.
constexpr milliseconds PropagationBound = 2'000ms;

std::string pathOf(std::uint64_t Version) {
  return "/v" + std::to_string(Version) + "/";
}

/// A configuration whose only route tells its version.
std::string configurationOf(std::uint64_t Version) {
  char Digits[9];
  std::snprintf(Digits, sizeof(Digits), "%08x", static_cast<unsigned>(Version));
  std::string Text = OrdersConfiguration;
  Text.replace(Text.find("00000007"), 8, Digits);
  Text.replace(Text.find("/orders/"), 8, pathOf(Version));
  return Text;
}

/// Daemons that have taken version 9 from a store.
struct followed_store : platform_fixture {
  followed_store() {
    REQUIRE(eventually([&] { return isReady(First) && isReady(Second); }));
    Store->append("keyed.op", "config", configurationOf(8));
    Store->append("keyed.op", "config", configurationOf(9));
    REQUIRE(eventually([&] { return isInForce(First, 9); }));
    REQUIRE(eventually([&] { return isInForce(Second, 9); }));
  }

  bool isInForce(const std::string &Host, std::uint64_t Version) const {
    return order(Host, pathOf(Version) + "x").starts_with("HTTP/1.1 200");
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
                       {configurationOf(9), configurationOf(11)});
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
  Store->append("keyed.op", "config", configurationOf(12));
  for (const std::string &Host : {First, Second})
    CHECK(eventually([&] { return isInForce(Host, 12); }));
}
