#include "peer/peer_codec.h"

#include "base/hash.h"
#include "peer/wire_conversion.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace endiverail {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t SealBytes = 32;
/// A pull's reply carries a whole configuration at most.
constexpr std::size_t MostReplyBytes = std::size_t{64} * 1024 * 1024;

/// The seal covers what a message is for, so that none can pass as another.
std::string seal(std::string_view Secret, std::string_view Purpose,
                 std::string_view Body) {
  std::string Text(Purpose);
  Text.append(1, '\n').append(Body);
  return hmacSha256(Secret, Text);
}

template <typename Wire>
std::string pack(std::string_view Secret, std::string_view Purpose,
                 const Wire &Message) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Message.write(&Protocol);
  std::string Body = Buffer->getBufferAsString();
  return seal(Secret, Purpose, Body) + Body;
}

template <typename Wire>
result<Wire> unpack(std::string_view Secret, std::string_view Purpose,
                    std::string_view Bytes) {
  if (Bytes.size() < SealBytes || Bytes.size() > MostReplyBytes)
    return fail(error_kind::BadRecord, "a peer's message has no right size");
  std::string_view Body = Bytes.substr(SealBytes);
  if (!equalConstantTime(Bytes.substr(0, SealBytes),
                         seal(Secret, Purpose, Body)))
    return fail(error_kind::BadSignature, "a message is not from a peer");
  // Thrift throws; that ends here.
  try {
    auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Body.data())),
        static_cast<std::uint32_t>(Body.size()));
    // No text and no list can be longer than what holds it.
    auto Limit = static_cast<std::int32_t>(Body.size());
    TCompactProtocol Protocol(Buffer, Limit, Limit);
    Wire Message;
    Message.read(&Protocol);
    return Message;
  } catch (const std::exception &Error) {
    return fail(error_kind::BadRecord, Error.what());
  }
}

} // namespace

std::string peer_codec::encode(const peer_message &Message) const {
  wire::Datagram Wire;
  Wire.kind = static_cast<std::int32_t>(Message.Gossip.Kind);
  Wire.sequence = toWire(Message.Gossip.Sequence);
  Wire.senderId = Message.Gossip.SenderId;
  Wire.senderAddress = Message.Gossip.SenderAddress;
  Wire.targetId = Message.Gossip.TargetId;
  Wire.targetAddress = Message.Gossip.TargetAddress;
  Wire.updates = converted<wire::Member>(Message.Gossip.Updates, ToWire);
  Wire.configurationDigest = toWire(Message.Digest.Configuration);
  Wire.hostListRevision = toWire(Message.Digest.HostListRevision);
  Wire.changes = converted<wire::ServiceVersion>(Message.Changes, ToWire);
  Wire.deaths = converted<wire::Death>(Message.Deaths, ToWire);
  Wire.leaving = converted<wire::Leaving>(Message.Leaving, ToWire);
  Wire.heirs = converted<wire::KeyHeir>(Message.Heirs, ToWire);
  Wire.pathFaults = converted<wire::PathFault>(Message.PathFaults, ToWire);
  Wire.work = converted<wire::WorkReport>(Message.Work, ToWire);
  Wire.statements =
      converted<wire::ServerStatement>(Message.Statements, ToWire);
  Wire.readsStore = Message.ReadsStore;
  Wire.serversDigest = toWire(Message.ServersDigest);
  if (Message.ServersAge)
    Wire.__set_serversAgeMilliseconds(
        static_cast<std::int32_t>(Message.ServersAge->count()));
  for (std::uint64_t Part : Message.ServersDigestParts)
    Wire.serversQuestion.push_back(toWire(Part));
  if (Message.Sent)
    Wire.__set_sentMilliseconds(*Message.Sent);
  if (Message.AnswerTo)
    Wire.__set_answerToMilliseconds(*Message.AnswerTo);
  if (Message.QuotaReport)
    Wire.__set_quotaReport(toWire(*Message.QuotaReport));
  Wire.quotaShares = converted<wire::QuotaShare>(Message.QuotaShares, ToWire);
  if (Message.StoreHistory)
    Wire.__set_storeHistory(toWire(*Message.StoreHistory));
  Wire.wallMilliseconds = Message.Time.WallMilliseconds;
  Wire.counter = static_cast<std::int32_t>(Message.Time.Counter);
  return pack(FleetSecret, "datagram", Wire);
}

result<peer_message> peer_codec::decodeMessage(std::string_view Bytes) const {
  BOOST_LEAF_AUTO(Wire, unpack<wire::Datagram>(FleetSecret, "datagram", Bytes));
  if (Wire.kind < 0 || Wire.kind > static_cast<int>(gossip_kind::ItemsOnly))
    return fail(error_kind::BadRecord, "unknown kind of datagram");
  peer_message Message;
  Message.Gossip.Kind = static_cast<gossip_kind>(Wire.kind);
  Message.Gossip.Sequence = fromWire(Wire.sequence);
  Message.Gossip.SenderId = Wire.senderId;
  Message.Gossip.SenderAddress = Wire.senderAddress;
  Message.Gossip.TargetId = Wire.targetId;
  Message.Gossip.TargetAddress = Wire.targetAddress;
  Message.Gossip.Updates = converted<member_update>(Wire.updates, FromWire);
  Message.Digest = {fromWire(Wire.configurationDigest),
                    fromWire(Wire.hostListRevision)};
  Message.Changes = converted<service_version>(Wire.changes, FromWire);
  Message.Deaths = converted<server_death>(Wire.deaths, FromWire);
  Message.Leaving = converted<server_leaving>(Wire.leaving, FromWire);
  Message.Heirs = converted<key_successor>(Wire.heirs, FromWire);
  Message.PathFaults = converted<path_fault>(Wire.pathFaults, FromWire);
  Message.Work = converted<work_report>(Wire.work, FromWire);
  Message.Statements = converted<server_statement>(Wire.statements, FromWire);
  Message.ReadsStore = Wire.readsStore;
  Message.ServersDigest = fromWire(Wire.serversDigest);
  if (Wire.__isset.serversAgeMilliseconds)
    Message.ServersAge = milliseconds(std::max(0, Wire.serversAgeMilliseconds));
  for (std::int64_t Part : Wire.serversQuestion)
    Message.ServersDigestParts.push_back(fromWire(Part));
  if (Wire.__isset.sentMilliseconds)
    Message.Sent = Wire.sentMilliseconds;
  if (Wire.__isset.answerToMilliseconds)
    Message.AnswerTo = Wire.answerToMilliseconds;
  if (Wire.__isset.quotaReport)
    Message.QuotaReport = fromWire(Wire.quotaReport);
  Message.QuotaShares = converted<quota_share>(Wire.quotaShares, FromWire);
  if (Wire.__isset.storeHistory)
    Message.StoreHistory = fromWire(Wire.storeHistory);
  Message.Time = {Wire.wallMilliseconds,
                  static_cast<std::uint32_t>(Wire.counter)};
  return Message;
}

std::string peer_codec::encode(const pull_request &Request) const {
  wire::PullRequest Wire;
  Wire.have = converted<wire::ServiceVersion>(Request.Have, ToWire);
  Wire.only = Request.OnlyListed;
  Wire.hostListRevision = toWire(Request.HostListRevision);
  Wire.wantMembers = Request.WantMembers;
  return pack(FleetSecret, "pull-request", Wire);
}

result<pull_request> peer_codec::decodeRequest(std::string_view Bytes) const {
  BOOST_LEAF_AUTO(
      Wire, unpack<wire::PullRequest>(FleetSecret, "pull-request", Bytes));
  return pull_request{converted<service_version>(Wire.have, FromWire),
                      Wire.only, fromWire(Wire.hostListRevision),
                      Wire.wantMembers};
}

std::string peer_codec::encode(const pull_reply &Reply) const {
  wire::PullReply Wire;
  Wire.records = converted<wire::Acceptance>(Reply.Records, ToWire);
  Wire.hostListRevision = toWire(Reply.Hosts.Revision);
  Wire.entryHosts = converted<wire::EntryHost>(Reply.Hosts.EntryHosts, ToWire);
  Wire.servers = converted<wire::Server>(Reply.Hosts.Servers, ToWire);
  Wire.members = converted<wire::Member>(Reply.Members, ToWire);
  Wire.deaths = converted<wire::Death>(Reply.Deaths, ToWire);
  Wire.heirs = converted<wire::KeyHeir>(Reply.Heirs, ToWire);
  Wire.pathFaults = converted<wire::PathFault>(Reply.PathFaults, ToWire);
  if (Reply.HostsChange)
    Wire.__set_hostsChange(toWire(*Reply.HostsChange));
  return pack(FleetSecret, "pull-reply", Wire);
}

result<pull_reply> peer_codec::decodeReply(std::string_view Bytes) const {
  BOOST_LEAF_AUTO(Wire,
                  unpack<wire::PullReply>(FleetSecret, "pull-reply", Bytes));
  pull_reply Reply;
  for (const wire::Acceptance &Record : Wire.records) {
    BOOST_LEAF_AUTO(Accepted, fromWire(Record));
    Reply.Records.push_back(std::move(Accepted));
  }
  Reply.Hosts.Revision = fromWire(Wire.hostListRevision);
  Reply.Hosts.EntryHosts = converted<entry_host>(Wire.entryHosts, FromWire);
  Reply.Hosts.Servers = converted<backend_server>(Wire.servers, FromWire);
  if (Wire.__isset.hostsChange)
    Reply.HostsChange = fromWire(Wire.hostsChange);
  Reply.Members = converted<member_update>(Wire.members, FromWire);
  Reply.Deaths = converted<server_death>(Wire.deaths, FromWire);
  Reply.Heirs = converted<key_successor>(Wire.heirs, FromWire);
  Reply.PathFaults = converted<path_fault>(Wire.pathFaults, FromWire);
  return Reply;
}

std::string peer_codec::encode(const key_hand_over &HandOver) const {
  wire::KeyHandOver Wire;
  Wire.giver = toWire(HandOver.Sender);
  Wire.heir = toWire(HandOver.Heir);
  Wire.rights = converted<wire::KeyHeir>(HandOver.Rights, ToWire);
  Wire.part = static_cast<std::int32_t>(HandOver.Part);
  Wire.parts = static_cast<std::int32_t>(HandOver.Parts);
  Wire.keys = converted<wire::RememberedKey>(HandOver.Keys, ToWire);
  return pack(FleetSecret, "key-hand-over", Wire);
}

result<key_hand_over> peer_codec::decodeHandOver(std::string_view Bytes) const {
  BOOST_LEAF_AUTO(
      Wire, unpack<wire::KeyHandOver>(FleetSecret, "key-hand-over", Bytes));
  if (Wire.part < 0 || Wire.parts < 0)
    return fail(error_kind::BadRecord, "the keys come in no such part");
  return key_hand_over{fromWire(Wire.giver),
                       fromWire(Wire.heir),
                       converted<key_successor>(Wire.rights, FromWire),
                       static_cast<std::size_t>(Wire.part),
                       static_cast<std::size_t>(Wire.parts),
                       converted<remembered_key>(Wire.keys, FromWire)};
}

std::string peer_codec::encode(const fleet_copy &Copy) const {
  wire::FleetCopy Wire;
  Wire.version = toWire(Copy.Version);
  Wire.configuration = Copy.Configuration;
  Wire.servers = converted<wire::ServerStatement>(Copy.Servers, ToWire);
  if (Copy.StoreHistory)
    Wire.__set_storeHistory(toWire(*Copy.StoreHistory));
  return pack(FleetSecret, "fleet-copy", Wire);
}

result<fleet_copy> peer_codec::decodeCopy(std::string_view Bytes) const {
  BOOST_LEAF_AUTO(Wire,
                  unpack<wire::FleetCopy>(FleetSecret, "fleet-copy", Bytes));
  fleet_copy Copy{fromWire(Wire.version), std::move(Wire.configuration),
                  converted<server_statement>(Wire.servers, FromWire),
                  std::nullopt};
  if (Wire.__isset.storeHistory)
    Copy.StoreHistory = fromWire(Wire.storeHistory);
  return Copy;
}

} // namespace endiverail
