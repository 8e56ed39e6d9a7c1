#include "peer_samples.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const peer_codec Codec("a secret of the fleet");
const peer_codec Stranger("another secret of others");

} // namespace

TEST_CASE("a datagram comes back as it was") {
  peer_message Sent = sampleMessage();
  peer_message Back = valueOf(Codec.decodeMessage(Codec.encode(Sent)));
  CHECK(Back.Gossip.Kind == Sent.Gossip.Kind);
  CHECK(Back.Gossip.Sequence == Sent.Gossip.Sequence);
  CHECK(Back.Gossip.SenderId == Sent.Gossip.SenderId);
  CHECK(Back.Gossip.TargetAddress == Sent.Gossip.TargetAddress);
  CHECK(Back.Gossip.Updates == Sent.Gossip.Updates);
  CHECK(Back.Digest == Sent.Digest);
  CHECK(Back.Changes == Sent.Changes);
  REQUIRE(Back.Deaths.size() == 1);
  CHECK(Back.Deaths[0].Fingerprint == 7);
  CHECK(Back.Leaving[0].Server == "y");
  CHECK(Back.Time == Sent.Time);
  CHECK(Back.Work == Sent.Work);
  CHECK(Back.QuotaReport == Sent.QuotaReport);
  CHECK(Back.QuotaShares == Sent.QuotaShares);
  CHECK(Back.StoreHistory == Sent.StoreHistory);
  CHECK_FALSE(
      valueOf(Codec.decodeMessage(Codec.encode(peer_message{}))).StoreHistory);
}

TEST_CASE("pulls and replies come back as they were") {
  pull_request Request{{{"s", 1}}, true, 2, true};
  pull_request Back = valueOf(Codec.decodeRequest(Codec.encode(Request)));
  CHECK(Back.Have == Request.Have);
  CHECK(Back.OnlyListed);
  CHECK(Back.HostListRevision == 2);
  pull_reply Reply = valueOf(Codec.decodeReply(Codec.encode(sampleReply())));
  REQUIRE(Reply.Records.size() == 1);
  CHECK(Reply.Records[0].ContentHash == sampleReply().Records[0].ContentHash);
  CHECK(Reply.Records[0].FirstOffset == 4);
  CHECK(Reply.Hosts.Servers == sampleReply().Hosts.Servers);
  CHECK(Reply.Members == sampleReply().Members);
  CHECK(Reply.Deaths == sampleReply().Deaths);
  CHECK(Reply.HostsChange == sampleReply().HostsChange);
  CHECK(Reply.PathFaults == sampleReply().PathFaults);
  CHECK(Reply.Heirs == sampleReply().Heirs);
}

TEST_CASE("a copy for a peer comes back as it was") {
  server_statement Statement;
  Statement.Id = Statement.Entry.Server.Instance = "i-1";
  Statement.Entry.Server.Address = "10.0.0.9:80";
  Statement.Entry.Sequence = 12;
  Statement.RemainingColdTime = milliseconds(700);
  std::string Value = std::string("text and") + '\0' + "bytes";
  fleet_copy Back = valueOf(
      Codec.decodeCopy(Codec.encode(fleet_copy{12, Value, {Statement}, 3})));
  CHECK(Back.Version == 12);
  CHECK(Back.StoreHistory == 3);
  CHECK(Back.Configuration == Value);
  REQUIRE(Back.Servers.size() == 1);
  CHECK(Back.Servers[0].Entry.Server == Statement.Entry.Server);
  CHECK(Back.Servers[0].Entry.Sequence == 12);
  CHECK(Back.Servers[0].RemainingColdTime == Statement.RemainingColdTime);
  CHECK(failureOf([] {
          return Codec.decodeCopy(Stranger.encode(fleet_copy{}));
        }) == error_kind::BadSignature);
}

TEST_CASE("a stranger's messages are refused") {
  CHECK(failureOf([] {
          return Codec.decodeMessage(Stranger.encode(sampleMessage()));
        }) == error_kind::BadSignature);
  CHECK(failureOf([] {
          return Codec.decodeReply(Stranger.encode(sampleReply()));
        }) == error_kind::BadSignature);
}

TEST_CASE("a message of one purpose does not pass as another") {
  std::string Request = Codec.encode(pull_request{});
  CHECK(failureOf([&] { return Codec.decodeReply(Request); }) ==
        error_kind::BadSignature);
  CHECK(failureOf([&] { return Codec.decodeMessage(Request); }) ==
        error_kind::BadSignature);
}

TEST_CASE("a datagram of the usual content is small") {
  peer_message Message = sampleMessage();
  CHECK(Codec.encode(Message).size() < 400);
}

TEST_CASE("odd numbers in quotas of organisations can neither overflow nor "
          "block an organisation") {
  constexpr double Infinite = std::numeric_limits<double>::infinity();
  constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
  constexpr auto Most = std::numeric_limits<std::int64_t>::max();
  constexpr auto Least = std::numeric_limits<std::int64_t>::min();
  for (double Odd : {Infinite, -Infinite, NotANumber, -7.0, 1e300}) {
    for (std::int64_t Counter : {Most, Least, std::int64_t{-1}}) {
      INFO(Odd << " " << Counter);
      peer_message Message;
      Message.QuotaReport = quota_report{
          1,
          milliseconds(Counter),
          {{"acme", Counter, Counter, Counter, Odd, milliseconds(-5), true}}};
      Message.QuotaShares = {{"acme", Odd, Odd, Odd}};
      auto Read = valueOf(Codec.decodeMessage(Codec.encode(Message)));
      REQUIRE(Read.QuotaReport);
      CHECK(Read.QuotaReport->Uptime.count() >= 0);
      REQUIRE(Read.QuotaReport->Uses.size() == 1);
      const quota_use &Use = Read.QuotaReport->Uses[0];
      constexpr std::int64_t MostRequests = Most / 1'000;
      for (std::int64_t Count :
           {Use.Requested, Use.Admitted, Use.RecentlyAdmitted}) {
        CHECK(Count >= -MostRequests);
        CHECK(Count <= MostRequests);
      }
      CHECK(Use.Requested >= 0);
      CHECK(Use.RecentlyAdmitted >= 0);
      CHECK(Use.KnownRequestRate >= 0);
      CHECK(Use.KnownRequestRate <= 1e9);
      CHECK(Use.KnownRequestRateAge.count() >= 0);
      REQUIRE(Read.QuotaShares.size() == 1);
      const quota_share &Share = Read.QuotaShares[0];
      CHECK(Share.Share >= 0);
      CHECK(Share.Share <= 1e6);
      CHECK(Share.RequestRate >= 0);
      REQUIRE(Share.OwnPart);
      CHECK(*Share.OwnPart >= 0);
      CHECK(*Share.OwnPart <= 1);
    }
  }
}
