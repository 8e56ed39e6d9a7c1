#include "process/swim.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <queue>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

/// Members that exchange datagrams over a simulated network and clock.
class gossip_network {
public:
  using link_filter = std::function<bool(std::size_t From, std::size_t To)>;

  gossip_network(std::size_t Count, std::uint64_t Seed) : Random(Seed) {
    std::vector<endpoint_text> First{addressOf(0)};
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Members.emplace_back(memberOf(Index, 1), swim_timing{}, Seed + Index);
      Members.back().addCandidates(First);
      Running.push_back(true);
    }
  }

  static endpoint_text addressOf(std::size_t Index) {
    return std::to_string(Index);
  }
  static proxy_member memberOf(std::size_t Index, std::uint64_t Incarnation) {
    return {"m" + std::to_string(Index), "dc", addressOf(Index), Incarnation,
            true};
  }

  void run(milliseconds Time) {
    steady_time Until = Now + Time;
    while (Now < Until) {
      Now += 10ms;
      deliver();
      for (std::size_t Index = 0; Index < Members.size(); ++Index)
        if (Running[Index] && Now >= Members[Index].nextWake()) {
          std::vector<outgoing_gossip> Out;
          Members[Index].tick(Now, Out);
          send(Index, Out);
        }
    }
  }

  /// Returns whether each member in \p Present sees exactly these members.
  bool allSee(const std::vector<std::size_t> &Present) const {
    std::vector<std::string> Wanted;
    for (std::size_t Index : Present)
      Wanted.push_back("m" + std::to_string(Index));
    std::ranges::sort(Wanted);
    return std::ranges::all_of(Present, [&](std::size_t Index) {
      std::vector<std::string> Seen;
      for (const proxy_member &Member : Members[Index].members())
        Seen.push_back(Member.Id);
      return Seen == Wanted;
    });
  }

  void restart(std::size_t Index) {
    Members[Index] =
        swim(memberOf(Index, ++Incarnation), swim_timing{}, 900 + Index);
    Members[Index].addCandidates(
        std::vector{addressOf((Index + 1) % Members.size())});
    Running[Index] = true;
  }

  std::vector<swim> Members;
  std::vector<bool> Running;
  link_filter LinkWorks = [](std::size_t, std::size_t) { return true; };
  double LossRate = 0;
  std::size_t Sent = 0;
  steady_time Now{1h};

private:
  struct in_flight {
    steady_time Due;
    std::size_t To = 0;
    gossip_message Message;
  };

  void send(std::size_t From, std::vector<outgoing_gossip> &Out) {
    std::uniform_real_distribution<double> Share(0, 1);
    for (outgoing_gossip &Each : Out) {
      ++Sent;
      std::size_t To = std::stoul(Each.To);
      if (LinkWorks(From, To) && Share(Random) >= LossRate)
        InFlight.push_back({Now + 10ms, To, std::move(Each.Message)});
    }
  }

  void deliver() {
    std::vector<in_flight> Due;
    auto FirstDue = std::ranges::partition(
        InFlight, [&](const in_flight &Each) { return Each.Due > Now; });
    std::ranges::move(FirstDue, std::back_inserter(Due));
    InFlight.erase(FirstDue.begin(), FirstDue.end());
    for (in_flight &Each : Due) {
      if (!Running[Each.To])
        continue;
      std::vector<outgoing_gossip> Out;
      Members[Each.To].receive(Each.Message, Now, Out);
      send(Each.To, Out);
    }
  }

  std::mt19937_64 Random;
  std::vector<in_flight> InFlight;
  std::uint64_t Incarnation = 1;
};

std::vector<std::size_t> range(std::size_t Count) {
  std::vector<std::size_t> All(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    All[Index] = Index;
  return All;
}

std::vector<std::size_t> without(std::vector<std::size_t> All,
                                 const std::vector<std::size_t> &Gone) {
  std::erase_if(All, [&](std::size_t Index) {
    return std::ranges::find(Gone, Index) != Gone.end();
  });
  return All;
}

} // namespace

TEST_CASE("44 members discover each other from one address") {
  gossip_network Network(44, 1);
  Network.run(20s);
  CHECK(Network.allSee(range(44)));
}

TEST_CASE(
    "the failure of one member or a whole rack is detected by all others") {
  for (const std::vector<std::size_t> &Gone :
       {std::vector<std::size_t>{5}, {8, 9, 10, 11, 12, 13}}) {
    gossip_network Network(30, 2);
    Network.run(20s);
    for (std::size_t Index : Gone)
      Network.Running[Index] = false;
    Network.run(40s);
    CHECK(Network.allSee(without(range(30), Gone)));
  }
}

TEST_CASE("10 % datagram loss causes no false positives") {
  gossip_network Network(20, 3);
  Network.run(20s);
  REQUIRE(Network.allSee(range(20)));
  Network.LossRate = 0.1;
  for (int Minute = 0; Minute < 5; ++Minute) {
    Network.run(60s);
    CHECK(Network.allSee(range(20)));
  }
}

TEST_CASE("indirect probes cover a link that is broken in one direction") {
  gossip_network Network(10, 4);
  Network.run(20s);
  Network.LinkWorks = [](std::size_t From, std::size_t To) {
    return !(From == 3 && To == 7);
  };
  Network.run(60s);
  CHECK(Network.allSee(range(10)));
}

TEST_CASE("a partitioned fleet splits in two and merges again") {
  gossip_network Network(12, 5);
  Network.run(20s);
  Network.LinkWorks = [](std::size_t From, std::size_t To) {
    return (From < 6) == (To < 6);
  };
  Network.run(30s);
  CHECK(Network.allSee({0, 1, 2, 3, 4, 5}));
  CHECK(Network.allSee({6, 7, 8, 9, 10, 11}));
  Network.LinkWorks = [](std::size_t, std::size_t) { return true; };
  // The host list still contains the other members.
  for (std::size_t Index = 0; Index < 12; ++Index)
    Network.Members[Index].addCandidates(
        std::vector{gossip_network::addressOf((Index + 6) % 12)});
  Network.run(30s);
  CHECK(Network.allSee(range(12)));
}

TEST_CASE("a paused member is declared dead and rejoins") {
  gossip_network Network(10, 6);
  Network.run(20s);
  Network.Running[4] = false;
  Network.run(30s);
  CHECK(Network.allSee(without(range(10), {4})));
  Network.Running[4] = true;
  Network.run(30s);
  CHECK(Network.allSee(range(10)));
}

TEST_CASE("a restarted member joins with its new incarnation") {
  gossip_network Network(10, 7);
  Network.run(20s);
  Network.Running[4] = false;
  Network.run(1s);
  Network.restart(4);
  Network.run(20s);
  CHECK(Network.allSee(range(10)));
  for (const proxy_member &Member : Network.Members[0].members())
    if (Member.Id == "m4")
      CHECK(Member.Incarnation == 2);
}

TEST_CASE(
    "a member that leaves is removed immediately without being suspected") {
  gossip_network Network(10, 8);
  Network.run(20s);
  std::vector<outgoing_gossip> Out;
  Network.Members[4].leave(Out);
  for (swim &Member : Network.Members)
    Member.takeChanges();
  for (const outgoing_gossip &Each : Out) {
    std::vector<outgoing_gossip> Ignored;
    Network.Members[std::stoul(Each.To)].receive(Each.Message, Network.Now,
                                                 Ignored);
  }
  Network.Running[4] = false;
  Network.run(5s);
  CHECK(Network.allSee(without(range(10), {4})));
  for (swim &Member : Network.Members)
    for (const member_change &Change : Member.takeChanges())
      if (Change.Id == "m4")
        CHECK(Change.State == member_state::Left);
}

TEST_CASE("all members learn that a proxy is not to be handed out") {
  gossip_network Network(10, 9);
  Network.run(20s);
  Network.Members[3].setOffered(false);
  Network.run(10s);
  for (const swim &Member : Network.Members)
    for (const proxy_member &Proxy : Member.members())
      CHECK(Proxy.Offered == (Proxy.Id != "m3"));
}

TEST_CASE("the message rate per member is independent of the fleet size") {
  auto PerMemberAndSecond = [](std::size_t Count) {
    gossip_network Network(Count, 10);
    Network.run(30s);
    std::size_t Before = Network.Sent;
    Network.run(30s);
    return static_cast<double>(Network.Sent - Before) /
           (30.0 * static_cast<double>(Count));
  };
  double Small = PerMemberAndSecond(10);
  double Large = PerMemberAndSecond(80);
  CHECK(Large < Small * 1.2);
}
