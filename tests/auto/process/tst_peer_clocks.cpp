#include "process/peer_clocks.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct clocks_fixture {
  /// The peer's clock, which began elsewhere.
  steady_stamp peerStamp() const { return stampOf(Now) - 5'000'000; }

  /// A round trip that takes so long on each way.
  void roundTrip(milliseconds There, milliseconds Back) {
    steady_stamp Asked = stampOf(Now);
    Now += There;
    steady_stamp Sent = peerStamp();
    Now += Back;
    Clocks.onAnswer("a", Asked, Sent, Now);
  }

  peer_clocks Clocks;
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(clocks_fixture, "a datagram that is late on its way is not "
                                 "taken for younger than it is") {
  auto There = GENERATE(1ms, 300ms);
  roundTrip(There, 200ms);
  steady_stamp Sent = peerStamp();
  steady_time TrulySent = Now;
  Now += 500ms;
  auto At = Clocks.sentAt("a", Sent, Now);
  REQUIRE(At);
  CHECK(*At == TrulySent - There);
}

TEST_CASE_METHOD(clocks_fixture, "nothing is told of a peer's clock before a "
                                 "round trip") {
  CHECK_FALSE(Clocks.sentAt("a", peerStamp(), Now));
  CHECK(Clocks.takeQuestion("a", Now));
  CHECK_FALSE(Clocks.takeQuestion("a", Now));
  Now += peer_clocks::AskPause;
  CHECK(Clocks.takeQuestion("a", Now));
  roundTrip(1ms, 1ms);
  Now += peer_clocks::AskPause;
  CHECK_FALSE(Clocks.takeQuestion("a", Now));
  Now += peer_clocks::RenewAfter;
  CHECK(Clocks.takeQuestion("a", Now));
}

TEST_CASE_METHOD(clocks_fixture, "the quickest round trip holds") {
  roundTrip(2ms, 2ms);
  roundTrip(300ms, 2ms);
  steady_time TrulySent = Now;
  CHECK(Clocks.sentAt("a", peerStamp(), Now) == TrulySent - 2ms);
  Now += peer_clocks::ReplaceAfter;
  roundTrip(40ms, 2ms);
  TrulySent = Now;
  CHECK(Clocks.sentAt("a", peerStamp(), Now) == TrulySent - 40ms);
}

TEST_CASE_METHOD(clocks_fixture, "a clock that has stood still is measured "
                                 "anew") {
  roundTrip(1ms, 1ms);
  Now += peer_clocks::AskPause;
  // Ours has stood still, so that the peer's stamps seem to come from later.
  CHECK_FALSE(Clocks.sentAt("a", peerStamp() + 3'000, Now));
  CHECK_FALSE(Clocks.sentAt("a", peerStamp(), Now));
  CHECK(Clocks.takeQuestion("a", Now));
}
