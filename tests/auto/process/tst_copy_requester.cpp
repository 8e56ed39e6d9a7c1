#include "process/copy_requester.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct requester_fixture {
  static proxy_member peer(std::string Id, std::string DataCentre,
                           std::uint32_t Capacity) {
    proxy_member Peer;
    Peer.Id = Id;
    Peer.DataCentre = std::move(DataCentre);
    Peer.Address = Id + ":1";
    Peer.Capacity = Capacity;
    return Peer;
  }

  copy_requester Requester{"here", 1};
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(requester_fixture,
                 "a copy is requested once, within the jitter") {
  Requester.onPeerVersion(peer("a", "here", 1), 5, Now);
  REQUIRE(Requester.nextWake(4));
  CHECK(*Requester.nextWake(4) <= Now + copy_requester::RequestJitter);
  CHECK_FALSE(Requester.nextPeer(5, Now + 1s));
  CHECK(Requester.nextPeer(4, Now + 1s) == "a:1");
  CHECK_FALSE(Requester.nextPeer(4, Now + 1s));
  Requester.onCopy("a:1");
  CHECK_FALSE(Requester.nextPeer(5, Now + 2s));
}

TEST_CASE_METHOD(requester_fixture,
                 "peers in the same data centre are preferred, then those with "
                 "a higher capacity") {
  struct row {
    std::vector<proxy_member> Peers;
    const char *RequestedPeer;
  };
  const row Rows[]{
      {{peer("a", "there", 9), peer("b", "here", 1)}, "b:1"},
      {{peer("a", "here", 1), peer("b", "here", 9)}, "b:1"},
      {{peer("a", "there", 1), peer("b", "there", 9)}, "b:1"},
  };
  for (const row &Row : Rows) {
    copy_requester Fresh("here", 1);
    for (const proxy_member &Peer : Row.Peers)
      Fresh.onPeerVersion(Peer, 5, Now);
    CHECK(Fresh.nextPeer(4, Now + 1s) == Row.RequestedPeer);
  }
}

TEST_CASE_METHOD(requester_fixture,
                 "a copy is not requested from a peer with an older version") {
  Requester.onPeerVersion(peer("a", "here", 9), 4, Now);
  Requester.onPeerVersion(peer("b", "there", 1), 5, Now);
  CHECK(Requester.nextPeer(3, Now + 1s) == "b:1");
}

TEST_CASE_METHOD(requester_fixture,
                 "after three failures the store is read, and peers are "
                 "queried again a second later") {
  for (const char *Id : {"a", "b", "c", "d"})
    Requester.onPeerVersion(peer(Id, "here", 1), 5, Now);
  for (std::size_t Count = 0; Count < copy_requester::MaxFailures; ++Count) {
    CHECK_FALSE(Requester.exhaustedFrom(4));
    Now += 1s;
    auto Peer = Requester.nextPeer(4, Now);
    REQUIRE(Peer);
    Requester.onFailure(*Peer, Now);
    CHECK_FALSE(Requester.nextPeer(4, Now));
  }
  CHECK(Requester.exhaustedFrom(4) <= Now);
  CHECK(Requester.takeExhausted(4, Now));
  CHECK_FALSE(Requester.takeExhausted(4, Now));
  CHECK_FALSE(Requester.nextWake(4));
  Requester.onPeerVersion(peer("d", "here", 1), 5, Now + 500ms);
  CHECK(Requester.exhaustedFrom(4));
  Requester.onPeerVersion(peer("d", "here", 9), 5, Now + 1'200ms);
  CHECK_FALSE(Requester.exhaustedFrom(4));
  CHECK(Requester.nextPeer(4, Now + 1'200ms) == "d:1");
}

TEST_CASE_METHOD(requester_fixture,
                 "a peer that failed is not asked again before the others") {
  for (const char *Id : {"a", "b"})
    Requester.onPeerVersion(peer(Id, "here", 1), 5, Now);
  auto First = Requester.nextPeer(4, Now + 1s);
  REQUIRE(First);
  Requester.onFailure(*First, Now + 1s);
  for (const char *Id : {"a", "b"})
    Requester.onPeerVersion(peer(Id, "here", 1), 5, Now + 1s);
  auto Second = Requester.nextPeer(4, Now + 1'100ms);
  REQUIRE(Second);
  CHECK(*Second != *First);
}

TEST_CASE_METHOD(requester_fixture,
                 "while a peer is slow to respond, others are asked, and then "
                 "the store") {
  struct row {
    bool ResponseStarted;
    milliseconds SlowAfter;
  };
  auto Row = GENERATE(row{false, copy_requester::ResponseTime},
                      row{true, copy_requester::TransferTime});
  for (const char *Id : {"a", "b", "c", "d"})
    Requester.onPeerVersion(peer(Id, "here", 1), 5, Now);
  Now += 1s;
  std::set<endpoint_text> Asked;
  for (std::size_t Count = 0; Count < copy_requester::MaxFailures; ++Count) {
    CHECK_FALSE(Requester.exhaustedFrom(4));
    auto Peer = Requester.nextPeer(4, Now);
    REQUIRE(Peer);
    Asked.insert(*Peer);
    if (Row.ResponseStarted)
      Requester.onResponseStarted(*Peer);
    CHECK(Requester.nextWake(4) == Now + Row.SlowAfter);
    CHECK_FALSE(Requester.nextPeer(4, Now + Row.SlowAfter - 1ms));
    CHECK_FALSE(Requester.takeExhausted(4, Now + Row.SlowAfter - 1ms));
    Now += Row.SlowAfter;
  }
  CHECK(Asked.size() == copy_requester::MaxFailures);
  CHECK(Requester.exhaustedFrom(4) == Now);
  CHECK(Requester.takeExhausted(4, Now));
  CHECK_FALSE(Requester.nextPeer(4, Now));
}

TEST_CASE_METHOD(requester_fixture,
                 "a slow request for an older version neither counts nor is "
                 "waited for") {
  for (const char *Id : {"a", "b", "c"})
    Requester.onPeerVersion(peer(Id, "here", 1), 5, Now);
  auto Slow = Requester.nextPeer(4, Now + 1s);
  REQUIRE(Slow);
  Now += 2s;
  for (const char *Id : {"a", "b", "c"})
    Requester.onPeerVersion(peer(Id, "here", 1), 6, Now);
  Now += copy_requester::RequestJitter;
  auto Next = Requester.nextPeer(4, Now);
  REQUIRE(Next);
  CHECK(*Next != *Slow);
  Requester.onFailure(*Slow, Now);
  CHECK(Requester.nextWake(4) == Now + copy_requester::ResponseTime);
}
