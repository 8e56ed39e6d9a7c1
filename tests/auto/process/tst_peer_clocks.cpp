#include "process/peer_clocks.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct clocks_fixture {
  /// The peer's clock, which has another origin.
  steady_timestamp peerTimestamp() const {
    return timestampOf(Now) - 5'000'000;
  }

  /// Performs a round trip with the given delay in each direction.
  void roundTrip(milliseconds OutboundDelay, milliseconds ReturnDelay) {
    steady_timestamp LocalSentAt = timestampOf(Now);
    Now += OutboundDelay;
    steady_timestamp PeerSentAt = peerTimestamp();
    Now += ReturnDelay;
    Clocks.onRoundTrip("a", LocalSentAt, PeerSentAt, Now);
  }

  peer_clocks Clocks;
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(
    clocks_fixture,
    "a datagram that is delayed in transit doesn't look newer than it is") {
  auto OutboundDelay = GENERATE(1ms, 300ms);
  roundTrip(OutboundDelay, 200ms);
  steady_timestamp PeerSentAt = peerTimestamp();
  steady_time ActualSendTime = Now;
  Now += 500ms;
  auto SendTime = Clocks.earliestSendTime("a", PeerSentAt, Now);
  REQUIRE(SendTime);
  CHECK(*SendTime == ActualSendTime - OutboundDelay);
}

TEST_CASE_METHOD(clocks_fixture,
                 "send times are unknown before the first round trip") {
  CHECK_FALSE(Clocks.earliestSendTime("a", peerTimestamp(), Now));
  CHECK(Clocks.takeProbe("a", Now));
  CHECK_FALSE(Clocks.takeProbe("a", Now));
  Now += peer_clocks::ProbeInterval;
  CHECK(Clocks.takeProbe("a", Now));
  roundTrip(1ms, 1ms);
  Now += peer_clocks::ProbeInterval;
  CHECK_FALSE(Clocks.takeProbe("a", Now));
  Now += peer_clocks::RefreshInterval;
  CHECK(Clocks.takeProbe("a", Now));
}

TEST_CASE_METHOD(clocks_fixture,
                 "the offset of the fastest round trip is used") {
  roundTrip(2ms, 2ms);
  roundTrip(300ms, 2ms);
  steady_time ActualSendTime = Now;
  CHECK(Clocks.earliestSendTime("a", peerTimestamp(), Now) ==
        ActualSendTime - 2ms);
  Now += peer_clocks::OffsetLifetime;
  roundTrip(40ms, 2ms);
  ActualSendTime = Now;
  CHECK(Clocks.earliestSendTime("a", peerTimestamp(), Now) ==
        ActualSendTime - 40ms);
}

TEST_CASE_METHOD(clocks_fixture,
                 "a clock is measured again after a suspension") {
  roundTrip(1ms, 1ms);
  Now += peer_clocks::ProbeInterval;
  // The local clock was suspended, so the peer's timestamps seem to lie in the
  // future.
  CHECK_FALSE(Clocks.earliestSendTime("a", peerTimestamp() + 3'000, Now));
  CHECK_FALSE(Clocks.earliestSendTime("a", peerTimestamp(), Now));
  CHECK(Clocks.takeProbe("a", Now));
}

TEST_CASE_METHOD(clocks_fixture,
                 "a clock that was measured by a slow round trip is measured "
                 "again soon") {
  CHECK(Clocks.takeProbe("a", Now));
  roundTrip(300ms, 300ms);
  CHECK_FALSE(Clocks.takeProbe("a", Now));
  Now += peer_clocks::ProbeInterval;
  CHECK(Clocks.takeProbe("a", Now));
  roundTrip(1ms, 1ms);
  Now += peer_clocks::ProbeInterval;
  CHECK_FALSE(Clocks.takeProbe("a", Now));
}
