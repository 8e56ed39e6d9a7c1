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

TEST_CASE("an odd entry neither ends the process nor names a target") {
  auto Entry = [](const std::string &Address, const std::string &Slots,
                  const std::string &More) {
    return R"({"service":"s","address":")" + Address + R"(","slots":)" + Slots +
           R"(,"state":"ready","cold-remaining-s":0,"sequence":4)" + More + "}";
  };
  const std::size_t Deep = 120'000;
  const std::string Long(1'000, 'x');
  struct row {
    const char *What;
    std::string Id;
    std::string Value;
  };
  const row Rows[]{
      {"nested lists only", "i",
       std::string(Deep, '[') + std::string(Deep, ']')},
      {"nested lists without end", "i", std::string(2 * Deep, '[')},
      {"a number beyond any type", "i", Entry("10.1.2.3:80", "1e400", "")},
      {"a number beyond whole ones", "i",
       Entry("10.1.2.3:80", "99999999999999999999999", "")},
      {"a huge number of slots", "i", Entry("10.1.2.3:80", "1e18", "")},
      {"a negative number", "i",
       Entry("10.1.2.3:80", "-9223372036854775808", "")},
      {"a huge start time", "i", Entry("10.1.2.3:80", "6", R"(,"born":1e300)")},
      {"a port out of range", "i", Entry("10.1.2.3:65536", "6", "")},
      {"a port of many digits", "i",
       Entry("10.1.2.3:99999999999999999999999", "6", "")},
      {"a negative port", "i", Entry("10.1.2.3:-1", "6", "")},
      {"no port", "i", Entry("10.1.2.3:", "6", "")},
      {"an id that is no field's value", "i\r\nX: 1",
       Entry("10.1.2.3:80", "6", "")},
      {"an id that is no text", "i\xff", Entry("10.1.2.3:80", "6", "")},
      {"an id that fits in no datagram", Long, Entry("10.1.2.3:80", "6", "")},
      {"a zone that fits in no datagram", "i",
       Entry("10.1.2.3:80", "6", R"(,"zone":")" + Long + R"(")")},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] {
            return platform::decodeServerEntry(Row.Id, Row.Value, Now);
          }) == error_kind::BadRecord);
  }
}

TEST_CASE("a target's entry may hold more than is known, however deep") {
  const std::size_t Deep = 100'000;
  auto Entry = valueFrom([] {
    return platform::decodeServerEntry(
        "i-1",
        R"({"service":"s","address":"10.1.2.3:80","slots":6,"state":"ready","cold-remaining-s":0,"sequence":4,"later":)" +
            std::string(Deep, '[') + std::string(Deep, ']') + "}",
        Now);
  });
  CHECK(Entry.Server.Slots == 6);
}
