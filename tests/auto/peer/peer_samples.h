#pragma once

#include "failure_check.h"
#include "files/service_file.h"
#include "peer/peer_codec.h"

namespace endiverail::test {

inline peer_message sampleMessage() {
  peer_message Message;
  Message.Gossip.Kind = gossip_kind::PingRequest;
  Message.Gossip.Sequence = 0xffffffffffffffffULL;
  Message.Gossip.SenderId = "a";
  Message.Gossip.SenderAddress = "127.0.0.1:1";
  Message.Gossip.TargetId = "b";
  Message.Gossip.TargetAddress = "127.0.0.1:2";
  Message.Gossip.Updates = {
      {{"c", "dc", "127.0.0.1:3", 9, false}, 4, member_state::Suspect}};
  Message.Digest = {0x8000000000000001ULL, 5};
  Message.Changes = {{"s", 6}};
  Message.Deaths = {{"s", 7, "x"}};
  Message.Leaving = {{"s", "y"}};
  Message.Work = {{"s",
                   {{"x", 1, 2, 3, 4, 5, 6, milliseconds(70)},
                    {"y", 7, 0, 0, 0, 0, 0, std::nullopt}}}};
  Message.QuotaReport = quota_report{
      12, milliseconds(13), {{"o", 14, -15, 16, 17.5, milliseconds(18), true}}};
  Message.QuotaShares = {{"o", 0.25, 19.5, 0.125}, {"p", 10, 0, std::nullopt}};
  Message.StoreHistory = 0x8000000000000002ULL;
  Message.Sent = 10;
  Message.AnswerTo = -11;
  Message.Time = {8, 9};
  return Message;
}

inline pull_reply sampleReply() {
  service_file File =
      valueOf(readServiceFile("f", R"({"service": "s", "pool_size": 2,
    "floor": 1, "kinds": [{"name": "n", "method": "GET", "path": "/s/*",
    "rank": "normal", "idempotent": true, "target_ms": 10}]})"));
  pull_reply Reply;
  Reply.Records = {{File.Definition, "parent", File.ContentHash, File.Content,
                    3, "signer", "signature", 4, false}};
  Reply.Hosts = {5,
                 {{"p", "dc", "127.0.0.1:1"}},
                 {{"127.0.0.1:2", "s", "dc", server_state::Leaving}}};
  Reply.Deaths = {{"s", 8, "y"}};
  Reply.HostsChange = host_list_change{
      3, 4, {{"c", "dc", "c:1"}}, {{"x", "p", "dc", {}}}, {"d"}, {"y"}};
  Reply.PathFaults = {{"b", "x"}};
  Reply.Heirs = {{{"b", 2}, {"c", 9}, 3}};
  Reply.Members = {{{"c", "dc", "127.0.0.1:3", 9, true}, 4, {}}};
  return Reply;
}

} // namespace endiverail::test
