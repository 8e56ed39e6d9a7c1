#include "announcing_peer.h"
#include "platform_fixture.h"

#include <array>
#include <chrono>
#include <memory>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// What is left of the two seconds in which a confirmed configuration has to be
/// in force when those that read the store wait on silent connections, too.
constexpr milliseconds CopyBound = 900ms;

/// A daemon beside three peers that read the store for it.
struct three_peers : platform_fixture {
  three_peers() {
    REQUIRE(eventually([&] { return isReady(First); }));
  }

  std::unique_ptr<announcing_peer> peer(const std::string &Id,
                                        const std::string &DataCentre) const {
    return std::make_unique<announcing_peer>(
        Id, DataCentre, First + ":" + std::to_string(PeerPort),
        settingsJson(First, "", "")["fleet_secret"]);
  }

  /// Time from the announcement by the given peers until the version is in
  /// force.
  milliseconds delayOf(std::uint64_t Version,
                       const std::vector<announcing_peer *> &By) const {
    steady_time Begin = steadyNow();
    for (announcing_peer *Peer : By)
      Peer->announce(Version, configurationOfVersion(Version));
    CHECK(eventually([&] { return isInForce(First, Version); }));
    return std::chrono::duration_cast<milliseconds>(steadyNow() - Begin);
  }

  std::uint64_t Version = 8;
  /// In the daemon's data centre, whose peers it prefers, and in another one.
  std::unique_ptr<announcing_peer> Near = peer("a", "z");
  std::unique_ptr<announcing_peer> AlsoNear = peer("b", "z");
  std::unique_ptr<announcing_peer> Far = peer("c", "y");
  std::unique_ptr<daemon> Daemon = start(First, Store->endpoint(), First);
};

} // namespace

TEST_CASE_METHOD(three_peers,
                 "connections to peers that have gone silent don't "
                 "keep a configuration from coming into force") {
  const std::array Peers{Near.get(), AlsoNear.get(), Far.get()};
  for (announcing_peer *Peer : Peers)
    delayOf(Version++, {Peer});
  for (announcing_peer *Peer : Peers)
    Peer->silenceConnections();
  CHECK(delayOf(Version, {Peers.begin(), Peers.end()}) < CopyBound);
}

TEST_CASE_METHOD(three_peers, "peers that stand still don't keep a "
                              "configuration from coming into force") {
  // Once all are known to the daemon.
  for (announcing_peer *Peer : {Near.get(), AlsoNear.get(), Far.get()})
    delayOf(Version++, {Peer});
  Near->silenceAll();
  AlsoNear->silenceAll();
  CHECK(delayOf(Version, {Near.get(), AlsoNear.get(), Far.get()}) < CopyBound);
}
