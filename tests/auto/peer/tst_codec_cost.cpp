#include "failure_check.h"
#include "peer/peer_codec.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endiverail;
using namespace endiverail::test;

// Hidden; its instructions are counted by hand (docs/MEASUREMENTS.md).
TEST_CASE("reports of other proxies are decoded", "[.cost]") {
  constexpr std::size_t Reports = 5'000;
  peer_codec Codec("a secret of the fleet");
  peer_message Message;
  Message.Gossip.Kind = gossip_kind::ItemsOnly;
  Message.Gossip.SenderId = "frontend-brno-a-1";
  Message.Gossip.SenderAddress = "10.1.0.35:8544";
  work_report Report{"zbytky-rezervace", {}};
  for (int Index = 0; Index < 5; ++Index) {
    server_work Work{"10.1.64." + std::to_string(Index) + ":8001"};
    Work.InUse = Work.Good = Work.Accepted = 1;
    Report.Servers.push_back(Work);
  }
  Message.Work.push_back(Report);
  std::string Bytes = Codec.encode(Message);
  INFO(Bytes.size() << " bytes");
  std::size_t Servers = 0;
  for (std::size_t Count = 0; Count < Reports; ++Count)
    Servers += valueOf(Codec.decodeMessage(Bytes)).Work.at(0).Servers.size();
  CHECK(Servers == 5 * Reports);
}
