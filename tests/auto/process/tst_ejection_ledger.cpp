#include "process/ejection_ledger.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace endiverail;

namespace {

service_definition poolOf(std::size_t Size, std::size_t Floor) {
  service_definition Service;
  Service.Name = "s";
  Service.PoolSize = Size;
  Service.MinHealthyServers = Floor;
  return Service;
}

ejection_claim claimOf(const std::string &Server, const std::string &Holder,
                       std::int64_t At, std::size_t Unavailable = 0) {
  ejection_claim Claim;
  Claim.Service = "s";
  Claim.Server = Server;
  Claim.Holder = Holder;
  Claim.Unavailable = Unavailable;
  Claim.LogMilliseconds = At;
  return Claim;
}

constexpr std::int64_t Lease = ejection_ledger::Lease.count();

/// A ledger whose claims are applied with one definition in force.
struct ledger_of {
  service_definition Service;
  ejection_ledger Ledger;

  void apply(const ejection_claim &Claim) { Ledger.apply(Claim, &Service); }
  bool granted(std::string_view Server, std::string_view Holder) const {
    return Ledger.granted(Service, Server, Holder).has_value();
  }
};

} // namespace

TEST_CASE("claims are granted in offset order down to the floor") {
  ledger_of Pool{poolOf(10, 8), {}};
  for (const char *Server : {"a", "b", "c"})
    Pool.apply(claimOf(Server, "p", 1));
  CHECK(Pool.granted("a", "p"));
  CHECK(Pool.granted("b", "p"));
  CHECK_FALSE(Pool.granted("c", "p"));
}

TEST_CASE("unavailable servers count against the budget") {
  ledger_of Small{poolOf(10, 8), {}};
  Small.apply(claimOf("a", "p", 1, 2));
  CHECK_FALSE(Small.granted("a", "p"));
  ledger_of Large{poolOf(10, 7), {}};
  Large.apply(claimOf("a", "p", 1, 2));
  CHECK(Large.granted("a", "p"));
}

TEST_CASE("raising the floor revokes the latest claims") {
  ledger_of Pool{poolOf(10, 8), {}};
  Pool.apply(claimOf("a", "p", 1));
  Pool.apply(claimOf("b", "q", 2));
  CHECK(Pool.granted("b", "q"));
  Pool.Service.MinHealthyServers = 9;
  CHECK_FALSE(Pool.granted("b", "q"));
  CHECK(Pool.granted("a", "p"));
}

TEST_CASE("claims of two owners on the same server count once") {
  ledger_of Pool{poolOf(10, 8), {}};
  Pool.apply(claimOf("a", "p", 1));
  Pool.apply(claimOf("a", "q", 2));
  Pool.apply(claimOf("b", "q", 3));
  CHECK(Pool.granted("a", "q"));
  CHECK(Pool.granted("b", "q"));
}

TEST_CASE("a claim expires with its lease unless it is renewed") {
  ledger_of Pool{poolOf(10, 9), {}};
  Pool.apply(claimOf("a", "p", 0));
  Pool.apply(claimOf("b", "q", 1));
  CHECK_FALSE(Pool.granted("b", "q"));
  Pool.apply(claimOf("a", "p", Lease - 1));
  Pool.Ledger.advance(Lease + 1);
  CHECK(Pool.granted("a", "p"));
  CHECK(Pool.Ledger.claimCount("s") == 2);
  Pool.Ledger.advance(Lease + 2);
  CHECK(Pool.Ledger.claimCount("s") == 1);
}

TEST_CASE("a claim is granted only when its own record is read") {
  ledger_of Pool{poolOf(10, 9), {}};
  Pool.apply(claimOf("a", "p", 0));
  Pool.apply(claimOf("b", "q", 1));
  ejection_claim Release = claimOf("a", "p", 2);
  Release.Held = false;
  Pool.apply(Release);
  // Releasing the first claim does not grant a claim that was refused before;
  // it must be appended again.
  CHECK_FALSE(Pool.granted("b", "q"));
  Pool.apply(claimOf("b", "q", 3));
  CHECK(Pool.granted("b", "q"));
}

TEST_CASE("the sequence identifies the claim that was read back") {
  ledger_of Pool{poolOf(10, 9), {}};
  for (std::uint64_t Sequence : {4, 5}) {
    ejection_claim Claim = claimOf("a", "p", 1);
    Claim.Sequence = Sequence;
    Pool.apply(Claim);
    CHECK(Pool.Ledger.granted(Pool.Service, "a", "p") == Sequence);
  }
}

TEST_CASE("holders that read late or not at all never eject below the floor") {
  // Each holder ejects servers by the records it has read so far, and stops by
  // its own clock before its lease on the log ends. The test counts the servers
  // that are ejected at the same time.
  constexpr std::int64_t HolderUse =
      (ejection_ledger::Lease - ejection_ledger::HolderMargin).count();
  auto Service = poolOf(10, 7);
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<ejection_claim> Log;
    struct holder {
      ejection_ledger Ledger;
      std::size_t Read = 0;
      std::map<std::uint64_t, std::int64_t> SentAt;
      std::map<std::string, std::int64_t> EjectedUntil;
    };
    std::vector<holder> Holders(4);
    std::int64_t Now = 0;
    std::size_t MaxEjected = 0;
    for (int Step = 0; Step < 2'000; ++Step) {
      Now += static_cast<std::int64_t>(Random() % 2'000);
      std::size_t Index = Random() % Holders.size();
      holder &Holder = Holders[Index];
      std::string Server(1, static_cast<char>('a' + Random() % 10));
      switch (Random() % 4) {
      case 0: {
        ejection_claim Claim = claimOf(Server, std::to_string(Index), Now);
        Claim.Sequence = static_cast<std::uint64_t>(Step);
        Claim.Unavailable = Random() % 3;
        Holder.SentAt[Claim.Sequence] = Now;
        // An append may be lost or delayed.
        Claim.LogMilliseconds += static_cast<std::int64_t>(Random() % 500);
        if (!Log.empty())
          Claim.LogMilliseconds =
              std::max(Claim.LogMilliseconds, Log.back().LogMilliseconds);
        if (Random() % 8 != 0)
          Log.push_back(Claim);
        break;
      }
      case 1:
        while (Holder.Read < Log.size())
          Holder.Ledger.apply(Log[Holder.Read++], &Service);
        for (char Name = 'a'; Name <= 'j'; ++Name) {
          std::string Each(1, Name);
          auto Sequence =
              Holder.Ledger.granted(Service, Each, std::to_string(Index));
          if (Sequence)
            Holder.EjectedUntil[Each] = Holder.SentAt[*Sequence] + HolderUse;
        }
        break;
      case 2: {
        ejection_claim Release = claimOf(Server, std::to_string(Index), Now);
        Release.Held = false;
        if (!Log.empty())
          Release.LogMilliseconds = std::max(Now, Log.back().LogMilliseconds);
        Holder.EjectedUntil.erase(Server);
        Log.push_back(Release);
        break;
      }
      default:
        // The holder is paused: it reads nothing, but its own clock still ends
        // its leases.
        break;
      }
      std::set<std::string> Ejected;
      for (const holder &Each : Holders)
        for (const auto &[Name, Until] : Each.EjectedUntil)
          if (Now < Until)
            Ejected.insert(Name);
      MaxEjected = std::max(MaxEjected, Ejected.size());
      REQUIRE(Ejected.size() + Service.MinHealthyServers <= Service.PoolSize);
    }
    // The budget is reached, so the check above is effective.
    CHECK(MaxEjected == Service.PoolSize - Service.MinHealthyServers);
  }
}
