#include "failure_check.h"
#include "platform/server_entry_decoder.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Now{1h};

} // namespace

TEST_CASE("a target's entry is decoded") {
  auto Entry = valueFrom([] {
    return platform::decodeServerEntry(
        "i-1",
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1",
            "slots":6,"state":"draining","cold-remaining-s":1.5,
            "sequence":4,"born":1767000000000,"later":{}})",
        Now);
  });
  CHECK(Entry.Server.Address == "10.1.2.3:80");
  CHECK(Entry.Server.Pool == "s");
  CHECK(Entry.Server.DataCentre == "z");
  CHECK(Entry.Server.Instance == "i-1");
  CHECK(Entry.Server.State == server_state::Leaving);
  CHECK(Entry.Server.Slots == 6);
  CHECK(Entry.Server.ColdUntil == Now + 1500ms);
  CHECK(Entry.Server.Started == 1767000000000);
  CHECK(Entry.Sequence == 4);
}

TEST_CASE("entries of another writer name no target") {
  const char *Rows[]{
      "",
      "\xff\xfe",
      "[]",
      "{}",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"resting","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":"6","state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":0,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":2.5,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.300:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":7,"address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":-1,"sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","sequence":4})",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0})",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4,"born":1.5})",
      R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4)",
  };
  for (const char *Row : Rows) {
    INFO(Row);
    CHECK(failureOf([&] {
            return platform::decodeServerEntry("i", Row, Now);
          }) == error_kind::BadRecord);
  }
}
