#include "process/server_directory.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct directory_fixture {
  static server_entry entry(std::string Address, std::uint64_t Sequence,
                            std::int64_t Started = 1,
                            server_state State = server_state::Live) {
    server_entry Entry;
    Entry.Server.Address = std::move(Address);
    Entry.Server.Pool = "s";
    Entry.Server.State = State;
    Entry.Server.Started = Started;
    Entry.Server.Slots = 6;
    Entry.Sequence = Sequence;
    return Entry;
  }

  std::size_t count() const { return Directory.servers().size(); }

  server_directory Directory;
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(directory_fixture,
                 "registrations of a server are applied in order") {
  Directory.apply("i", entry("a:1", 1), Now);
  CHECK(Directory.takeChanged());
  Directory.apply("i", entry("a:1", 2), Now);
  CHECK_FALSE(Directory.takeChanged());
  Directory.apply("i", entry("a:1", 4, 1, server_state::Leaving), Now);
  CHECK(Directory.takeChanged());
  // A registration that was delayed in transit.
  Directory.apply("i", entry("a:1", 3), Now);
  CHECK(Directory.servers().front().State == server_state::Leaving);
  // A new server process starts its sequence again.
  Directory.apply("i", entry("a:1", 1, 2), Now);
  CHECK(Directory.servers().front().State == server_state::Live);
}

TEST_CASE_METHOD(directory_fixture,
                 "an old registration doesn't restore a removed server, not "
                 "even from an older copy of the store") {
  bool Returned = GENERATE(false, true);
  Directory.apply("i", entry("a:1", 7), Now);
  Directory.remove("i", Now);
  CHECK(count() == 0);
  if (Returned)
    Directory.onStoreReturned(Now);
  Directory.apply("i", entry("a:1", 6), Now);
  Directory.apply("i", entry("a:1", 7), Now);
  CHECK(count() == 0);
  Directory.apply("i", entry("a:1", 8), Now);
  CHECK(count() == 1);
}

TEST_CASE_METHOD(directory_fixture,
                 "servers whose entries expired during an outage of the store "
                 "have time to register again") {
  Directory.apply("lapsed", entry("a:1", 1), Now);
  Directory.apply("back", entry("b:1", 1), Now);
  Directory.apply("left", entry("c:1", 1, 1, server_state::Leaving), Now);
  Directory.onStoreUnavailable();
  Now += 60s;
  Directory.onStoreAvailable();
  Directory.beginGracePeriod(Now);
  for (std::string_view Id : {"lapsed", "back", "left"})
    Directory.remove(Id, Now);
  // A server that had announced that it is leaving was removed.
  CHECK(count() == 2);
  Now += 1s;
  Directory.apply("back", entry("b:1", 2), Now);
  CHECK_FALSE(Directory.removeExpired(Now));
  Now += server_directory::GracePeriod;
  CHECK(Directory.removeExpired(Now));
  REQUIRE(count() == 1);
  CHECK(Directory.servers().front().Address == "b:1");
}

TEST_CASE_METHOD(directory_fixture, "a listing removes what is not in it") {
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.apply("j", entry("b:1", 1), Now);
  Directory.beginListing();
  Directory.apply("j", entry("b:1", 2), Now);
  Directory.endListing(Now);
  REQUIRE(count() == 1);
  CHECK(Directory.servers().front().Address == "b:1");
}

TEST_CASE_METHOD(directory_fixture, "an address that two servers register "
                                    "belongs to the one that started later") {
  Directory.apply("old", entry("a:1", 9, 1), Now);
  Directory.apply("new", entry("a:1", 1, 2), Now);
  REQUIRE(count() == 1);
  CHECK(Directory.servers().front().Started == 2);
}

TEST_CASE_METHOD(directory_fixture,
                 "statements of one directory bring another one up to date") {
  server_directory Other;
  auto Tell = [&] {
    for (const server_statement &Statement : Directory.takeStatements())
      Other.mergeStatement(Statement, Now);
  };
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.apply("j", entry("b:1", 1), Now);
  Tell();
  CHECK(Other.digest() == Directory.digest());
  CHECK(Other.servers() == Directory.servers());
  Directory.apply("i", entry("a:1", 2, 1, server_state::Leaving), Now);
  CHECK(Other.digest() != Directory.digest());
  Tell();
  CHECK(Other.digest() == Directory.digest());
  Directory.remove("i", Now);
  Tell();
  CHECK(Other.servers() == Directory.servers());
}

TEST_CASE_METHOD(
    directory_fixture,
    "an outdated statement of a reader doesn't revert a newer registration") {
  server_statement Removed{"i", entry("a:1", 3), milliseconds(0), true};
  Directory.apply("i", entry("a:1", 5), Now);
  Directory.mergeStatement(Removed, Now);
  CHECK(count() == 1);
  Removed.Entry.Sequence = 5;
  Directory.mergeStatement(Removed, Now);
  CHECK(count() == 0);
}

TEST_CASE_METHOD(
    directory_fixture,
    "a listing doesn't remove a server whose record can't be decoded") {
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.apply("j", entry("b:1", 1), Now);
  Directory.beginListing();
  Directory.apply("j", entry("b:1", 2), Now);
  Directory.onUnreadableRecord("i");
  Directory.onUnreadableRecord("k");
  Directory.endListing(Now);
  CHECK(count() == 2);
}

TEST_CASE_METHOD(directory_fixture,
                 "an entry that is removed during the grace period is kept "
                 "only until the end of the period") {
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.onStoreUnavailable();
  Now += 60s;
  Directory.onStoreAvailable();
  Directory.beginGracePeriod(Now);
  steady_time Back = Now;
  Now += server_directory::GracePeriod - 100ms;
  Directory.remove("i", Now);
  CHECK(count() == 1);
  CHECK(Directory.nextWake() == Back + server_directory::GracePeriod);
  Now += 100ms;
  CHECK(Directory.removeExpired(Now));
  CHECK(count() == 0);
}

TEST_CASE_METHOD(directory_fixture, "an outage that is too short for entries "
                                    "to expire starts no grace period") {
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.apply("j", entry("b:1", 1), Now);
  Directory.onStoreUnavailable();
  Now += 2s;
  Directory.remove("i", Now);
  Directory.onStoreAvailable();
  CHECK(Directory.removeExpired(Now));
  Directory.remove("j", Now);
  CHECK(count() == 0);
}

TEST_CASE_METHOD(
    directory_fixture,
    "an entry that a peer reports as removed gets no grace period") {
  Directory.apply("i", entry("a:1", 1), Now);
  Directory.onStoreUnavailable();
  Now += 60s;
  Directory.onStoreAvailable();
  Directory.beginGracePeriod(Now);
  Directory.remove("i", Now);
  CHECK(count() == 1);
  Directory.mergeStatement({"i", entry("a:1", 1), milliseconds(0), true}, Now);
  CHECK(count() == 0);
}

TEST_CASE_METHOD(
    directory_fixture,
    "differing servers are found by digest buckets, including removed ones") {
  server_directory Other;
  for (int Server = 0; Server < 100; ++Server) {
    std::string Id = "i" + std::to_string(Server);
    Directory.apply(Id, entry(Id + ":1", 1), Now);
    Other.apply(Id, entry(Id + ":1", 1), Now);
  }
  Directory.apply("i7", entry("i7:1", 2, 1, server_state::Leaving), Now);
  Directory.remove("i8", Now);
  Directory.apply("new", entry("new:1", 1), Now);
  std::vector<server_statement> Told =
      Directory.differingStatements(Other.digestBuckets(), Now);
  CHECK(Told.size() < 50);
  for (const server_statement &Statement : Told)
    Other.mergeStatement(Statement, Now);
  CHECK(Other.digest() == Directory.digest());
  CHECK(Other.servers() == Directory.servers());
  CHECK(Directory.differingStatements(Other.digestBuckets(), Now).empty());
}

TEST_CASE_METHOD(directory_fixture,
                 "a server that an older copy of the store lacks is used until "
                 "it has had time to register again") {
  Directory.apply("i", entry("a:1", 7), Now);
  Directory.onStoreReturned(Now);
  Directory.beginListing();
  Directory.endListing(Now);
  CHECK(count() == 1);
  Now += server_directory::GracePeriod;
  CHECK(Directory.removeExpired(Now));
  CHECK(count() == 0);
}
