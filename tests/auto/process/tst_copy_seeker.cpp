#include "process/copy_seeker.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct seeker_fixture {
  static proxy_member peer(std::string Id, std::string DataCentre,
                           std::uint32_t Capacity) {
    proxy_member Peer;
    Peer.Id = Id;
    Peer.DataCentre = std::move(DataCentre);
    Peer.Address = Id + ":1";
    Peer.Capacity = Capacity;
    return Peer;
  }

  copy_seeker Seeker{"here", 1};
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(seeker_fixture, "a peer is asked within the spread, once") {
  Seeker.onTold(peer("a", "here", 1), 5, Now);
  REQUIRE(Seeker.nextWake(4));
  CHECK(*Seeker.nextWake(4) <= Now + copy_seeker::Spread);
  CHECK_FALSE(Seeker.next(5, Now + 1s));
  CHECK(Seeker.next(4, Now + 1s) == "a:1");
  CHECK_FALSE(Seeker.next(4, Now + 1s));
  Seeker.onCopy();
  CHECK_FALSE(Seeker.next(5, Now + 2s));
}

TEST_CASE_METHOD(seeker_fixture, "peers nearby come first, then strong ones") {
  struct row {
    std::vector<proxy_member> Peers;
    const char *Asked;
  };
  const row Rows[]{
      {{peer("a", "there", 9), peer("b", "here", 1)}, "b:1"},
      {{peer("a", "here", 1), peer("b", "here", 9)}, "b:1"},
      {{peer("a", "there", 1), peer("b", "there", 9)}, "b:1"},
  };
  for (const row &Row : Rows) {
    copy_seeker Fresh("here", 1);
    for (const proxy_member &Peer : Row.Peers)
      Fresh.onTold(Peer, 5, Now);
    CHECK(Fresh.next(4, Now + 1s) == Row.Asked);
  }
}

TEST_CASE_METHOD(seeker_fixture, "a peer with an older version is not asked") {
  Seeker.onTold(peer("a", "here", 9), 4, Now);
  Seeker.onTold(peer("b", "there", 1), 5, Now);
  CHECK(Seeker.next(3, Now + 1s) == "b:1");
}

TEST_CASE_METHOD(seeker_fixture, "after three failures the store is read, and "
                                 "peers are asked again a second later") {
  for (const char *Id : {"a", "b", "c", "d"})
    Seeker.onTold(peer(Id, "here", 1), 5, Now);
  for (std::size_t Count = 0; Count < copy_seeker::MostFailures; ++Count) {
    CHECK_FALSE(Seeker.hasGivenUp(4));
    Now += 1s;
    REQUIRE(Seeker.next(4, Now));
    Seeker.onFailure(Now);
    CHECK_FALSE(Seeker.next(4, Now));
  }
  CHECK(Seeker.hasGivenUp(4));
  CHECK_FALSE(Seeker.nextWake(4));
  Seeker.onTold(peer("d", "here", 1), 5, Now + 500ms);
  CHECK(Seeker.hasGivenUp(4));
  Seeker.onTold(peer("d", "here", 1), 5, Now + 1'200ms);
  CHECK_FALSE(Seeker.hasGivenUp(4));
  CHECK(Seeker.next(4, Now + 1'200ms) == "d:1");
}
