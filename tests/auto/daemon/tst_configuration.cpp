#include "fleet_fixture.h"

#include "files/log_codec.h"
#include "files/record_codec.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

void appendRaw(const fleet_fixture &Fleet, const std::string &Text) {
  valueOf(fetch("POST", Fleet.Scenario.Platform, AppendTarget, Text,
                fleet_fixture::CallTimeout));
}

/// An acceptance that a stranger has signed.
acceptance forged(const std::string &Text, std::uint64_t Version,
                  std::string_view Parent) {
  signing_key Stranger = valueOf(signing_key::generate());
  service_file File = valueOf(readServiceFile("f", Text));
  acceptance Record{File.Definition,
                    std::string(Parent),
                    File.ContentHash,
                    File.Content,
                    Version,
                    Stranger.Public,
                    "",
                    0,
                    false};
  Record.Signature = valueOf(
      sign(Stranger, signedText("shop", Parent, File.ContentHash, Version)));
  return Record;
}

} // namespace

TEST_CASE_METHOD(fleet_fixture, "an accepted change is in force everywhere") {
  makeReady();
  std::uint64_t Version = publish(serviceText(3));
  CHECK(Version == 2);
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    CHECK(eventually([&] { return versionAt(Index) == 2; }));
}

TEST_CASE_METHOD(fleet_fixture, "what was not accepted has no effect") {
  makeReady();
  log_client Log(Scenario.Platform);
  // A proposal alone, forgeries, torn and foreign records.
  valueOf(publishFiles(
      std::vector{valueOf(readServiceFile("f", serviceText(1)))},
      valueOf(configuration_state::create(std::vector{Customer.Public})), "op",
      Log));
  std::string Parent = valueOf(readServiceFile("f", serviceText())).ContentHash;
  appendRaw(*this, encodeRecord(forged(serviceText(0), 2, Parent)));
  acceptance Newer = forged(serviceText(0), 99, "");
  Newer.Signer = Customer.Public;
  appendRaw(*this, encodeRecord(Newer));
  appendRaw(*this, "torn {\"type\":");
  appendRaw(*this, "{\"type\":\"other\"}");
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    CHECK(eventually([&] { return sawEvent(Index, "record-skipped"); }));
  // A true change behind them still comes in force, as version 2.
  CHECK(publish(serviceText(3)) == 2);
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    CHECK(eventually([&] { return versionAt(Index) == 2; }));
}

TEST_CASE_METHOD(fleet_fixture, "a stranger can't pull or place anything") {
  makeReady();
  fetched_answer Answer =
      call(0, "POST", "/endiverail/peer/pull", std::string(64, 'x'));
  CHECK(Answer.Status == 403);
  CHECK(call(0, "POST", "/endiverail/peer/pull", "").Status == 400);
}

TEST_CASE_METHOD(fleet_fixture,
                 "a new host starts from its peers while the store is away") {
  makeReady();
  order({{"target", "log"}, {"fault", "down"}});
  Daemons[2].reset();
  Daemons[2] = start(2);
  CHECK(eventually([&] { return get(2, "/endiverail/health").Status == 200; }));
  CHECK(versionAt(2) == 1);
  std::string Answer = raw(2, request("GET", "/shop/items/1?bytes=10", "id"));
  CHECK(Answer.ends_with(answerContent("id", 0, 10)));
}

TEST_CASE_METHOD(fleet_fixture,
                 "replacing every host one after another keeps the version") {
  makeReady();
  publish(serviceText(3));
  REQUIRE(eventually([&] { return versionAt(0) == 2 && versionAt(1) == 2; }));
  order({{"target", "log"}, {"fault", "down"}});
  for (std::size_t Index = 0; Index < DaemonCount; ++Index) {
    Daemons[Index].reset();
    Daemons[Index] = start(Index);
    REQUIRE(eventually(
        [&] { return get(Index, "/endiverail/health").Status == 200; }));
    CHECK(versionAt(Index) == 2);
  }
}

TEST_CASE_METHOD(fleet_fixture,
                 "all hosts replaced at once without the store: not ready") {
  makeReady();
  order({{"target", "log"}, {"fault", "down"}});
  for (auto &Daemon : Daemons)
    Daemon.reset();
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    Daemons[Index] = start(Index);
  poll(nullptr, 0, 1'500);
  for (std::size_t Index = 0; Index < DaemonCount; ++Index) {
    CHECK(get(Index, "/endiverail/health").Status == 503);
    CHECK(versionAt(Index) == 0);
  }
  order({{"target", "log"}, {"fault", "none"}});
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    CHECK(eventually([&] { return versionAt(Index) == 1; }));
}

TEST_CASE_METHOD(fleet_fixture, "an append whose answer is lost counts once") {
  makeReady();
  order({{"target", "log"}, {"fault", "lost-answers"}});
  CHECK(publish(serviceText(3)) == 2);
  order({{"target", "log"}, {"fault", "none"}});
  log_client Log(Scenario.Platform);
  std::size_t Acceptances = 0;
  for (const log_entry &Entry : valueOf(Log.readAll()))
    Acceptances += std::holds_alternative<acceptance>(Entry.Record);
  CHECK(Acceptances == 2);
  CHECK(eventually([&] { return versionAt(0) == 2; }));
}
