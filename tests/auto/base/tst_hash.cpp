#include "base/hash.h"
#include "failure_check.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a signature holds for its key and its text only") {
  signing_key Key = valueOf(signing_key::generate());
  signing_key Other = valueOf(signing_key::generate());
  std::string Signature = valueOf(sign(Key, "text"));
  CHECK(verify(Key.Public, "text", Signature));
  CHECK_FALSE(verify(Other.Public, "text", Signature));
  CHECK_FALSE(verify(Key.Public, "texT", Signature));
  CHECK_FALSE(verify(Key.Public, "text", Signature.substr(2)));
  CHECK_FALSE(verify("nonsense", "text", Signature));
  CHECK(valueOf(signing_key::fromPrivate(Key.Private)).Public == Key.Public);
  CHECK(failureOf([] { return signing_key::fromPrivate("12"); }) ==
        error_kind::BadSignature);
}

TEST_CASE("hashes are the same on every host") {
  // Fixed values: another one would give backend servers other owners while
  // daemons of two versions run side by side.
  CHECK(stableHash("reservations", "brno-a-1") == 0x5037cab2b5be6897ULL);
  CHECK(sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST_CASE("hexadecimal text that is none gives nothing") {
  CHECK(fromHex("0aFF") == std::string("\x0a\xff"));
  CHECK(fromHex("0a0").empty());
  CHECK(fromHex("0g").empty());
}
