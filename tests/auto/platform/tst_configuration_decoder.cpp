#include "failure_check.h"
#include "platform/configuration_decoder.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

const std::string Whole = R"({"version":"0000001c",
  "limits":{"header-bytes":16384,"body-bytes":1000,"header-timeout-s":3,
            "idle-timeout-s":1.5},
  "listeners":[
    {"host":"h1","rules":[
      {"name":"r1","kind":"safe","latency-target-s":2,"priority":1,
       "match":{"path-prefix":"/a/"},
       "action":{"traffic-split":[{"service":"s1","weight":90},
                                  {"service":"s2","weight":10}],
                 "timeout-s":4,"attempts":2}},
      {"name":"r2","kind":"download","latency-target-s":0.25,"priority":7,
       "match":{"path-prefix":"/b/"},
       "action":{"service":"s2","timeout-s":0.5,"attempts":0}}]},
    {"host":"h2","rules":[
      {"name":"r3","kind":"unsafe","latency-target-s":4,"priority":0,
       "match":{"path-prefix":"/a/"},
       "action":{"service":"s3","timeout-s":5,"attempts":3}},
      {"name":"r4","kind":"of another time","latency-target-s":4,"priority":0,
       "match":{"path-prefix":"/c/"},
       "action":{"service":"s3","timeout-s":5,"attempts":3}}]}],
  "clusters":[{"name":"s1"},{"name":"s2"},{"name":"s3"}]})";

std::string without(std::string Text, const std::string &Part,
                    const std::string &Other = "") {
  std::size_t At = Text.find(Part);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Part.size(), Other);
}

std::string withTenants(const std::string &Tenants) {
  return without(Whole, R"("listeners")",
                 R"("tenants":)" + Tenants + R"(,"listeners")");
}

} // namespace

TEST_CASE("a configuration becomes routes, services and limits") {
  auto Decoded = valueFrom([] { return platform::decodeConfiguration(Whole); });
  CHECK(Decoded.Version == 0x1c);
  CHECK(Decoded.Limits.BodyBytes == 1000);
  CHECK(Decoded.Limits.IdleTimeout == 1500ms);
  CHECK(Decoded.Services.find("s3"));
  const route *Split = Decoded.Routes->find("h1", "/a/x");
  REQUIRE(Split);
  CHECK(Split->Services.size() == 2);
  CHECK(Split->Kind.Idempotent);
  CHECK(Split->Kind.LatencyTarget == 2s);
  CHECK(Split->Kind.Timeout == 4s);
  CHECK(Split->Kind.MaxAttempts == 2);
  CHECK(Split->Kind.Rank == rank::Normal);
  const route *Download = Decoded.Routes->find("h1", "/b/x");
  REQUIRE(Download);
  CHECK(Download->Kind.Bulk);
  CHECK(Download->Kind.Idempotent);
  CHECK(Download->Kind.Timeout == 500ms);
  CHECK(Download->Kind.MaxAttempts == 1);
  CHECK(Download->Kind.Rank == rank::Background);
  const route *Unsafe = Decoded.Routes->find("h2", "/a/x");
  REQUIRE(Unsafe);
  CHECK_FALSE(Unsafe->Kind.Idempotent);
  CHECK(Unsafe->Kind.Rank == rank::Urgent);
}

TEST_CASE("a kind that is not known is never repeated") {
  auto Decoded = valueFrom([] { return platform::decodeConfiguration(Whole); });
  CHECK_FALSE(Decoded.Routes->find("h2", "/c/x")->Kind.Idempotent);
}

TEST_CASE("tenants become organisations with their quotas and ranks") {
  CHECK_FALSE(valueFrom([] {
                return platform::decodeConfiguration(Whole);
              }).Organisations);
  auto Decoded = valueFrom([] {
    return platform::decodeConfiguration(withTenants(
        R"([{"name":"o1","credentials":["k1","k2"],"priority":7,
             "rate-per-s":2.5,"burst":4},
            {"name":"o2","credentials":[]}])"));
  });
  REQUIRE(Decoded.Organisations);
  const organisation *First = Decoded.Organisations->findByKey("k2");
  REQUIRE(First);
  CHECK(First->Name == "o1");
  CHECK(First->Rank == rank::Background);
  CHECK(First->Quota == request_quota{2.5, 4});
  const organisation *Second = Decoded.Organisations->find("o2");
  REQUIRE(Second);
  CHECK_FALSE(Second->Rank);
  CHECK_FALSE(Second->Quota.isLimited());
  CHECK_FALSE(Decoded.Routes->find("h1", "/a/x")->Public);
  CHECK(valueFrom([] {
          return platform::decodeConfiguration(without(
              Whole, R"("name":"r1",)", R"("name":"r1","public":true,)"));
        })
            .Routes->find("h1", "/a/x")
            ->Public);
  CHECK(valueFrom([] {
          return platform::decodeConfiguration(withTenants("[]"));
        }).Organisations);
}

TEST_CASE("configurations that make no sense are refused whole") {
  struct row {
    const char *What;
    std::string Text;
  };
  const row Rows[]{
      {"nothing", ""},
      {"cut short", Whole.substr(0, Whole.size() / 2)},
      {"a list", "[]"},
      {"no version", without(Whole, R"("version":"0000001c",)")},
      {"a version that is no number", without(Whole, "0000001c", "0000001z")},
      {"a number for a version", without(Whole, R"("0000001c")", "28")},
      {"no timeout", without(Whole, R"("timeout-s":4,)")},
      {"a text for a time",
       without(Whole, R"("timeout-s":4)", R"("timeout-s":"4")")},
      {"no prefix", without(Whole, R"("path-prefix":"/a/")")},
      {"a prefix without its slash", without(Whole, R"("/a/")", R"("/a")")},
      {"no services",
       without(Whole,
               R"("clusters":[{"name":"s1"},{"name":"s2"},{"name":"s3"}])",
               R"("clusters":7)")},
      {"no limits", without(Whole, R"("limits")", R"("other")")},
      {"tenants that are no list", withTenants(R"({"name":"o"})")},
      {"a tenant without a name", withTenants(R"([{"credentials":["k"]}])")},
      {"a tenant without keys", withTenants(R"([{"name":"o"}])")},
      {"a number for a key",
       withTenants(R"([{"name":"o","credentials":[7]}])")},
      {"a key of two tenants", withTenants(R"([{"name":"o","credentials":["k"]},
                       {"name":"p","credentials":["k"]}])")},
      {"a rate that is no finite number",
       withTenants(R"([{"name":"o","credentials":["k"],"rate-per-s":1e999}])")},
      {"a negative rate",
       withTenants(R"([{"name":"o","credentials":["k"],"rate-per-s":-1}])")},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return platform::decodeConfiguration(Row.Text); }) ==
          error_kind::BadRecord);
  }
}
