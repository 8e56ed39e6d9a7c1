#include "signed_records.h"
#include "version/configuration_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// A generated log with a chain of acceptances signed by the customer,
/// conflicting acceptances that are also signed by the customer, and forgeries.
struct generated_log {
  signing_key CustomerKey = valueOf(signing_key::generate());
  signing_key UntrustedKey = valueOf(signing_key::generate());
  std::vector<acceptance> Chain;
  std::vector<acceptance> Log;

  explicit generated_log(std::size_t Length) {
    std::string Parent;
    std::uint64_t Offset = 0;
    for (std::size_t Version = 1; Version <= Length; ++Version) {
      std::string Content = "content " + std::to_string(Version);
      Chain.push_back(signedAcceptance(CustomerKey, "s", Content, Parent,
                                       Version, Offset++));
      Log.push_back(Chain.back());
      Log.push_back(signedAcceptance(CustomerKey, "s", "rival " + Content,
                                     Parent, Version, Offset++));
      Log.push_back(signedAcceptance(UntrustedKey, "s", "forged", Parent,
                                     Version, Offset++));
      Parent = sha256Hex(Content);
    }
  }
};

} // namespace

TEST_CASE(
    "readers of the log converge regardless of pauses, rereads and restarts") {
  const generated_log Records(12);
  REQUIRE(rc::check([&](const std::vector<std::uint8_t> &Choices) {
    configuration_state ConfigurationState = valueOf(
        configuration_state::create(std::vector{Records.CustomerKey.Public}));
    std::size_t At = 0;
    std::uint64_t Highest = 0;
    for (std::uint8_t Choice : Choices) {
      // Occasionally rereads from an earlier offset, as after a lost response.
      if (Choice % 5 == 0)
        At -= std::min<std::size_t>(At, Choice / 5);
      if (At == Records.Log.size())
        break;
      const acceptance &Record = Records.Log[At++];
      handleFailure([&] { return ConfigurationState.apply(Record); },
                    [](const failure &) { return false; });
      auto Found = ConfigurationState.inForce().find("s");
      RC_ASSERT(Found != ConfigurationState.inForce().end());
      const acceptance &InForce = Found->second.Record;
      // Must not revert and must be part of the customer's chain.
      RC_ASSERT(InForce.Version >= Highest);
      RC_ASSERT(InForce.Content == Records.Chain[InForce.Version - 1].Content);
      Highest = InForce.Version;
    }
  }));
}

TEST_CASE(
    "forgeries are never in force, in whatever order peers pass records on") {
  const generated_log Records(6);
  REQUIRE(rc::check([&](std::uint32_t Seed, std::uint8_t Count) {
    std::mt19937 Random(Seed);
    configuration_state ConfigurationState = valueOf(
        configuration_state::create(std::vector{Records.CustomerKey.Public}));
    std::uint64_t Highest = 0;
    for (int Step = 0; Step < Count; ++Step) {
      const acceptance &Record = Records.Log[Random() % Records.Log.size()];
      handleFailure([&] { return ConfigurationState.apply(Record); },
                    [](const failure &) { return false; });
      auto Found = ConfigurationState.inForce().find("s");
      if (Found == ConfigurationState.inForce().end())
        continue;
      RC_ASSERT(Found->second.Record.Signer == Records.CustomerKey.Public);
      RC_ASSERT(Found->second.Record.Content != "forged");
      RC_ASSERT(Found->second.Record.Version >= Highest);
      Highest = Found->second.Record.Version;
    }
  }));
}
