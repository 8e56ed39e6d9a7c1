#include "process/outcome_table.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};
const proxy_incarnation Issuer{"p", 1};

} // namespace

TEST_CASE("a key runs once and its response is stored") {
  outcome_table Table(10'000, 10s);
  CHECK(Table.begin("k", Issuer, Now) == key_state::New);
  CHECK(Table.begin("k", Issuer, Now) == key_state::InProgress);
  Table.finish("k", {{}, "body"}, Now);
  CHECK(Table.begin("k", Issuer, Now + 9s) == key_state::Finished);
  CHECK(Table.find("k")->Body == "body");
}

TEST_CASE("a key whose request was not run can be used again") {
  outcome_table Table(10'000, 10s);
  Table.begin("k", Issuer, Now);
  Table.forget("k");
  CHECK(Table.bytes() == 0);
  CHECK(Table.begin("k", Issuer, Now) == key_state::New);
}

TEST_CASE("a finished key is not forgotten") {
  outcome_table Table(10'000, 10s);
  Table.begin("k", Issuer, Now);
  Table.finish("k", {}, Now);
  Table.forget("k");
  CHECK(Table.begin("k", Issuer, Now) == key_state::Finished);
}

TEST_CASE("a key in progress does not expire") {
  outcome_table Table(10'000, 10s);
  Table.begin("k", Issuer, Now);
  CHECK(Table.begin("k", Issuer, Now + 60s) == key_state::InProgress);
  Table.finish("k", {}, Now + 60s);
  CHECK(Table.begin("k", Issuer, Now + 69s) == key_state::Finished);
  CHECK(Table.begin("k", Issuer, Now + 71s) == key_state::New);
}

TEST_CASE("a full table rejects new keys and keeps existing ones") {
  outcome_table Table(3'000, 10s);
  std::size_t Taken = 0;
  while (Table.begin(std::to_string(Taken), Issuer, Now) == key_state::New)
    ++Taken;
  CHECK(Taken > 2);
  CHECK(Table.begin("another", Issuer, Now) == key_state::Full);
  CHECK(Table.begin("0", Issuer, Now) == key_state::InProgress);
}
