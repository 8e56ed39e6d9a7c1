#include "process/idempotency_key.h"

#include <catch2/catch.hpp>

using namespace endiverail;

TEST_CASE("a key identifies its issuer and can't be forged by a caller") {
  wall_time Issued{std::chrono::milliseconds(1'234)};
  std::string Prefix =
      idempotency_key::issuePrefix({"brno-a-1", 7}, Issued, "n", "secret");
  auto Key = idempotency_key::parse(Prefix + "~1", "secret");
  REQUIRE(Key);
  CHECK(Key->Issuer == proxy_incarnation{"brno-a-1", 7});
  CHECK(Key->Issued == Issued);
  CHECK_FALSE(idempotency_key::parse(Prefix + "~1", "other secret"));
  CHECK_FALSE(idempotency_key::parse(Prefix, "secret"));
  CHECK_FALSE(idempotency_key::parse(Prefix + "~", "secret"));
  CHECK_FALSE(idempotency_key::parse("", "secret"));
  for (auto [Part, Other] : {std::pair("~7~", "~8~"), {"~1234~", "~9999~"}}) {
    std::string Forged = Prefix;
    Forged.replace(Forged.find(Part), std::string_view(Part).size(), Other);
    CHECK_FALSE(idempotency_key::parse(Forged + "~1", "secret"));
  }
}

TEST_CASE("a hop token is valid only for its request") {
  std::string Token = hopToken("p", "POST", "/a", "secret");
  CHECK(verifyHopToken(Token, "POST", "/a", "secret"));
  CHECK_FALSE(verifyHopToken(Token, "POST", "/b", "secret"));
  CHECK_FALSE(verifyHopToken(Token, "GET", "/a", "secret"));
  CHECK_FALSE(verifyHopToken(Token, "POST", "/a", "other"));
  CHECK_FALSE(verifyHopToken("", "POST", "/a", "secret"));
}
