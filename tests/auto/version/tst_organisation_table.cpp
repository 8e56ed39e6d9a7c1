#include "failure_check.h"
#include "version/organisation_table.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;

namespace {

organisation_definition definition(std::string Name,
                                   std::vector<std::string> AccessKeys,
                                   request_quota Quota = {}) {
  return {{std::move(Name), std::nullopt, Quota}, std::move(AccessKeys)};
}

organisation_table_ref
tableOf(const std::vector<organisation_definition> &Definitions) {
  return valueFrom([&] { return organisation_table::build(Definitions); });
}

} // namespace

TEST_CASE("an organisation is found by each of its keys and by its name") {
  auto Table = tableOf({definition("b", {"key-b1", "key-b2"}, {5, 2}),
                        definition("a", {"key-a"}), definition("c", {})});
  REQUIRE(Table->findByKey("key-b1"));
  CHECK(Table->findByKey("key-b1")->Name == "b");
  CHECK(Table->findByKey("key-b2")->Quota == request_quota{5, 2});
  CHECK(Table->findByKey("key-a")->Name == "a");
  CHECK(Table->find("c"));
  CHECK_FALSE(Table->find("d"));
  CHECK(Table->holdsKey(hashAccessKey("key-a")));
  CHECK_FALSE(Table->holdsKey(hashAccessKey("key-c")));
}

TEST_CASE("no part of a key and nothing like it is a key") {
  auto Table = tableOf({definition("a", {"key-a"})});
  for (std::string_view Other :
       {"", "key-", "key-a ", "KEY-A", "key-aa", "ey-a", "a"}) {
    INFO(Other);
    CHECK_FALSE(Table->findByKey(Other));
  }
}

TEST_CASE("an organisation may list a key twice") {
  auto Table = tableOf({definition("a", {"key", "key"})});
  CHECK(Table->findByKey("key"));
}

TEST_CASE("organisations that contradict each other are refused whole") {
  constexpr double Infinite = std::numeric_limits<double>::infinity();
  struct row {
    const char *What;
    std::vector<organisation_definition> Definitions;
  };
  const row Rows[]{
      {"a key of two organisations",
       {definition("a", {"k1", "secret"}), definition("b", {"secret"})}},
      {"two of one name", {definition("a", {"k1"}), definition("a", {"k2"})}},
      {"no name", {definition("", {"k1"})}},
      {"an empty key", {definition("a", {""})}},
      {"a negative rate", {definition("a", {}, {-1, 0})}},
      {"a negative burst", {definition("a", {}, {1, -1})}},
      {"an endless rate", {definition("a", {}, {Infinite, 0})}},
      {"a burst that is no number", {definition("a", {}, {1, std::nan("")})}},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Build = [&] { return organisation_table::build(Row.Definitions); };
    CHECK(failureOf(Build) == error_kind::BadRecord);
    CHECK(detailOf(Build).find("secret") == std::string::npos);
  }
}

TEST_CASE("many organisations are told apart") {
  constexpr int Count = 140'000;
  std::vector<organisation_definition> Definitions;
  for (int Index = 0; Index < Count; ++Index)
    Definitions.push_back(definition("o" + std::to_string(Index),
                                     {"key-" + std::to_string(Index)}));
  auto Table = tableOf(Definitions);
  for (int Index = 0; Index < Count; Index += 997)
    CHECK(Table->findByKey("key-" + std::to_string(Index))->Name ==
          "o" + std::to_string(Index));
  CHECK_FALSE(Table->findByKey("key-" + std::to_string(Count)));
}

TEST_CASE("a key that an organisation lists very often takes no quadratic "
          "time") {
  std::vector<std::string> Same(100'000, "key");
  auto Table = valueFrom([&] {
    return organisation_table::build({{{"acme", {}, {}}, Same}});
  });
  REQUIRE(Table->findByKey("key"));
  CHECK(Table->findByKey("key")->Name == "acme");
  CHECK(detailOf([&] {
          return organisation_table::build(
              {{{"acme", {}, {}}, Same}, {{"beta", {}, {}}, {"key"}}});
        }).find("acme and beta") != std::string::npos);
}
