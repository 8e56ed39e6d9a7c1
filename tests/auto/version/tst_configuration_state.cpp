#include "signed_records.h"
#include "version/configuration_state.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

struct configuration_state_fixture {
  signing_key CustomerKey = valueOf(signing_key::generate());
  signing_key UntrustedKey = valueOf(signing_key::generate());
  configuration_state ConfigurationState =
      valueOf(configuration_state::create(std::vector{CustomerKey.Public}));

  std::uint64_t version(std::string_view Service = "s") const {
    auto Found = ConfigurationState.inForce().find(Service);
    return Found == ConfigurationState.inForce().end()
               ? 0
               : Found->second.Record.Version;
  }
};

} // namespace

TEST_CASE_METHOD(configuration_state_fixture,
                 "an accepted change is in force") {
  CHECK(valueOf(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "one", "", 1))));
  CHECK(version() == 1);
  CHECK(valueOf(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "two", sha256Hex("one"), 2))));
  CHECK(version() == 2);
}

TEST_CASE_METHOD(configuration_state_fixture,
                 "records without a customer signature have no effect") {
  acceptance Good = signedAcceptance(CustomerKey, "s", "one", "", 1);
  struct row {
    const char *What;
    acceptance Record;
    error_kind Kind;
  };
  auto With = [&](auto Change) {
    acceptance Record = Good;
    Change(Record);
    return Record;
  };
  const row Rows[]{
      {"untrusted key", signedAcceptance(UntrustedKey, "s", "one", "", 1),
       error_kind::BadSignature},
      {"untrusted key with the customer as signer", With([&](auto &R) {
         R = signedAcceptance(UntrustedKey, "s", "one", "", 1);
         R.Signer = CustomerKey.Public;
       }),
       error_kind::BadSignature},
      {"different content", With([](auto &R) { R.Content = "two"; }),
       error_kind::BadRecord},
      {"different content with matching hash", With([](auto &R) {
         R.Content = "two";
         R.ContentHash = sha256Hex("two");
       }),
       error_kind::BadSignature},
      {"different service", With([](auto &R) { R.Definition.Name = "t"; }),
       error_kind::BadSignature},
      {"different version", With([](auto &R) { R.Version = 7; }),
       error_kind::BadSignature},
      {"different parent", With([](auto &R) { R.Parent = "p"; }),
       error_kind::BadSignature},
      {"missing signature", With([](auto &R) { R.Signature.clear(); }),
       error_kind::BadSignature},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return ConfigurationState.apply(Row.Record); }) ==
          Row.Kind);
    CHECK(ConfigurationState.inForce().empty());
  }
}

TEST_CASE_METHOD(configuration_state_fixture,
                 "the first of two concurrent acceptances wins") {
  std::string One = sha256Hex("one");
  REQUIRE(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "one", "", 1, 1)));
  REQUIRE(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "a", One, 2, 5)));
  CHECK_FALSE(valueOf(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "b", One, 2, 6))));
  CHECK(ConfigurationState.inForce().find("s")->second.Record.Content == "a");
  CHECK(failureOf([&] {
          return ConfigurationState.apply(
              signedAcceptance(CustomerKey, "s", "c", sha256Hex("b"), 3, 7));
        }) == error_kind::StaleParent);
}

TEST_CASE_METHOD(configuration_state_fixture,
                 "copies and outdated records have no effect") {
  acceptance One = signedAcceptance(CustomerKey, "s", "one", "", 1);
  acceptance Two =
      signedAcceptance(CustomerKey, "s", "two", One.ContentHash, 2);
  REQUIRE(ConfigurationState.apply(One));
  REQUIRE(ConfigurationState.apply(Two));
  auto Digest = ConfigurationState.digest();
  CHECK_FALSE(valueOf(ConfigurationState.apply(One)));
  CHECK_FALSE(valueOf(ConfigurationState.apply(Two)));
  CHECK(ConfigurationState.digest() == Digest);
}

TEST_CASE_METHOD(configuration_state_fixture,
                 "a new reader accepts the highest version it sees") {
  // Earlier records have been deleted by log retention.
  REQUIRE(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "nine", "parent", 9)));
  CHECK(version() == 9);
  CHECK_FALSE(valueOf(ConfigurationState.apply(
      signedAcceptance(CustomerKey, "s", "eight", "older", 8))));
  CHECK(version() == 9);
}

TEST_CASE_METHOD(configuration_state_fixture,
                 "proposals alone do not change the configuration in force") {
  proposal Proposal;
  Proposal.Definition.Name = "s";
  Proposal.Content = "one";
  Proposal.ContentHash = sha256Hex("one");
  REQUIRE(ConfigurationState.apply(Proposal));
  CHECK(ConfigurationState.inForce().empty());
  CHECK(ConfigurationState.pending().size() == 1);
  REQUIRE(ConfigurationState.apply(rejection{"s", Proposal.ContentHash, "no"}));
  CHECK(ConfigurationState.pending().empty());
  for (int Count = 0; Count < 1000; ++Count) {
    Proposal.ContentHash = std::to_string(Count);
    REQUIRE(ConfigurationState.apply(Proposal));
  }
  CHECK(ConfigurationState.pending().size() <= 256);
}

TEST_CASE("at least one customer key is required") {
  CHECK(failureOf([] { return configuration_state::create({}); }) ==
        error_kind::BadSettings);
}
