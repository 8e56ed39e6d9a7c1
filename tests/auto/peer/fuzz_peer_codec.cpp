#include "base/hash.h"
#include "peer_samples.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const std::string Secret = "a secret of the fleet";
const peer_codec Codec(Secret);

/// Bytes with a right seal, as a faulty or hostile peer could send them.
std::string sealed(std::string_view Purpose, const std::string &Body) {
  return hmacSha256(Secret, std::string(Purpose) + "\n" + Body) + Body;
}

} // namespace

TEST_CASE("a changed byte is always noticed") {
  const std::string Whole = Codec.encode(sampleMessage());
  REQUIRE(rc::check([&](std::uint16_t Place, std::uint8_t Change) {
    RC_PRE(Change != 0);
    std::string Bytes = Whole;
    Bytes[Place % Bytes.size()] ^= static_cast<char>(Change);
    RC_ASSERT(failureOf([&] { return Codec.decodeMessage(Bytes); }) ==
              error_kind::BadSignature);
  }));
}

TEST_CASE("sealed nonsense is refused or read, never more") {
  REQUIRE(rc::check([](const std::string &Body) {
    handleFailure([&] { return Codec.decodeMessage(sealed("datagram", Body)); },
                  [](const failure &) { return peer_message{}; });
    handleFailure([&] { return Codec.decodeReply(sealed("pull-reply", Body)); },
                  [](const failure &) { return pull_reply{}; });
    handleFailure(
        [&] { return Codec.decodeRequest(sealed("pull-request", Body)); },
        [](const failure &) { return pull_request{}; });
  }));
}

TEST_CASE("sealed messages with changed bytes are refused or read") {
  constexpr std::size_t SealBytes = 32;
  const std::string Whole = Codec.encode(sampleReply()).substr(SealBytes);
  REQUIRE(rc::check([&](const std::vector<std::uint16_t> &Places) {
    std::string Body = Whole;
    for (std::uint16_t Place : Places)
      Body[Place % Body.size()] ^= static_cast<char>(1 + Place / 256);
    handleFailure([&] { return Codec.decodeReply(sealed("pull-reply", Body)); },
                  [](const failure &) { return pull_reply{}; });
  }));
}
