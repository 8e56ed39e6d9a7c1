// The messages that a daemon exchanges with its peers.

#include "process/store_control_state.h"

#include "log/event_line.h"

#include <algorithm>
#include <utility>

namespace endiverail {
namespace {

std::vector<std::string> idsOf(std::span<const server_change> Changes,
                               server_change_kind Kind) {
  std::vector<std::string> Ids;
  for (const server_change &Change : Changes)
    if (Change.Kind == Kind)
      Ids.push_back(Change.Id);
  return Ids;
}

} // namespace

void store_control_state::onDatagram(const peer_message &Message,
                                     steady_time Now,
                                     store_control_actions &Out) {
  LastPeerMessage = Now;
  hearHistory(Message.StoreHistory, Message.Gossip.SenderId, Now, Out);
  std::vector<outgoing_gossip> Gossip;
  Members.receive(Message.Gossip, Now, Gossip);
  sendGossip(Gossip, Now, Out, &Message);
  if (Message.Digest.Configuration > completeVersion()) {
    auto Sender = std::ranges::find(PublishedMembers, Message.Gossip.SenderId,
                                    &proxy_member::Id);
    if (Sender != PublishedMembers.end())
      CopyRequester.onPeerVersion(*Sender, Message.Digest.Configuration, Now);
    if (isReader())
      pollConfigurationNow(Now, Out);
  }
  mergeServers(Message, Now, Out);
  answerQuery(Message, Now, Out);
  onQuotaMessage(Message, Now, Out);
  for (const work_report &Report : Message.Work)
    Out.emplace_back(
        notify_traffic_threads{peer_work{Message.Gossip.SenderId, Report}});
  for (const server_death &Death : Message.Deaths) {
    Deaths.onPeerDeath(Death, Now);
    Out.emplace_back(notify_traffic_threads{Death});
  }
  sendDeaths(Now, Out);
  publishIfChanged(Now, Out);
}

std::optional<steady_time>
store_control_state::confirmationTime(const peer_message &Message,
                                      steady_time Now) {
  if (!Message.ServersAge || !Message.Sent)
    return std::nullopt;
  const std::string &Sender = Message.Gossip.SenderId;
  if (Message.AnswerTo)
    Clocks.onRoundTrip(Sender, *Message.AnswerTo, *Message.Sent, Now);
  auto Sent = Clocks.earliestSendTime(Sender, *Message.Sent, Now);
  return Sent ? std::optional(*Sent - *Message.ServersAge) : std::nullopt;
}

void store_control_state::probeClock(const gossip_message &Member,
                                     steady_time Now,
                                     store_control_actions &Out) {
  if (!Clocks.takeProbe(Member.SenderId, Now))
    return;
  std::vector<outgoing_gossip> Gossip;
  Members.pingAddresses(std::span(&Member.SenderAddress, 1), Gossip);
  sendGossip(Gossip, Now, Out);
}

void store_control_state::mergeServers(const peer_message &Message,
                                       steady_time Now,
                                       store_control_actions &Out) {
  if (Message.ReadsStore)
    LastReaderMessage = Now;
  for (const server_statement &Statement : Message.Statements)
    Directory.mergeStatement(Statement, Now);
  logServerChanges("peer", Message.Gossip.SenderId);
  // Only readers forward statements.
  if (!isReader())
    Directory.takeStatements();
  if (Message.ReadsStore)
    probeClock(Message.Gossip, Now, Out);
  auto AsOf = confirmationTime(Message, Now);
  if (!ServersKnown || !Message.ServersAge)
    return;
  if (Message.ServersDigest != Directory.digest())
    Freshness.onMismatch(Message.Gossip.SenderId, Message.ServersDigest,
                         AsOf.value_or(Now - *Message.ServersAge), Now);
  else if (AsOf)
    confirmServers(*AsOf);
}

void store_control_state::confirmServers(steady_time AsOf) {
  auto Before = Freshness.confirmedAt();
  // A daemon that was suspended itself can't tell whether the store was
  // unavailable.
  if (Before && AsOf - *Before >= Settings.RegistrationInterval &&
      Freshness.storeTimedOutSince(*Before))
    Directory.beginGracePeriod(AsOf);
  Freshness.confirm(AsOf);
}

void store_control_state::queryServers(steady_time Now,
                                       store_control_actions &Out) {
  if (auto Member = Freshness.takeMismatch(Directory.digest(), Now))
    queryMember(*Member, Now, Out);
  if (Freshness.takeQuery(Now))
    if (auto Member = nextQueryTarget())
      queryMember(*Member, Now, Out);
}

std::optional<std::string> store_control_state::nextQueryTarget() {
  // Once each reader was queried, the next query goes to any member.
  std::size_t Candidate = NextQueryIndex++ % (Readers.size() + 1);
  if (Candidate < Readers.size() && Readers[Candidate] != Settings.Self.Id)
    return Readers[Candidate];
  if (PublishedMembers.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Any(0,
                                                 PublishedMembers.size() - 1);
  return PublishedMembers[Any(Random)].Id;
}

void store_control_state::queryMember(std::string_view Id, steady_time Now,
                                      store_control_actions &Out) {
  auto Found = KnownPeers.find(Id);
  if (Found == KnownPeers.end())
    return;
  auto Buckets = Directory.digestBuckets();
  peer_message Query;
  Query.Gossip.SenderAddress = Settings.Self.Address;
  Query.ServersDigestParts.assign(Buckets.begin(), Buckets.end());
  sendNews(std::move(Query), {Found->second}, Now, Out);
}

void store_control_state::answerQuery(const peer_message &Message,
                                      steady_time Now,
                                      store_control_actions &Out) {
  if (Message.ServersDigestParts.empty() || !ServersKnown)
    return;
  if (Now >= ResponsePeriodStart + ResponsePeriod) {
    ResponsePeriodStart = Now;
    ResponseCount = 0;
  }
  std::vector<server_statement> Differing =
      Directory.differingStatements(Message.ServersDigestParts, Now);
  ResponseCount += 1 + Differing.size() / StatementsPerDatagram;
  if (ResponseCount > MaxResponses)
    return;
  peer_message Base;
  Base.AnswerTo = Message.Sent;
  sendStatements(Differing, {Message.Gossip.SenderAddress}, Base, Now, Out);
}

std::optional<milliseconds>
store_control_state::serversAge(steady_time Now) const {
  auto ConfirmedAt = Freshness.confirmedAt();
  if (!ServersKnown || !ConfirmedAt)
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(Now - *ConfirmedAt);
}

void store_control_state::logServerChanges(std::string_view Source,
                                           std::string_view Peer) {
  std::vector<server_change> Changes = Directory.takeChanges();
  if (Changes.empty())
    return;
  ChangeCounts[std::string(Source)] += Changes.size();
  event_line("servers_changed")
      .with("source", Peer.empty() ? Source : Peer)
      .with("reader", isReader())
      .with("store_away", StoreUnavailable)
      .with("ready", idsOf(Changes, server_change_kind::Ready).size())
      .with("leaving", idsOf(Changes, server_change_kind::Leaving))
      .with("gone", idsOf(Changes, server_change_kind::Removed))
      .with("version", VersionNumber + 1);
}

void store_control_state::broadcastServers(steady_time Now,
                                           store_control_actions &Out) {
  std::vector<server_statement> Statements =
      Retransmitter.nextBatch(Directory.takeStatements(), Now);
  if (!isReader())
    return;
  peer_message Base;
  Base.ReadsStore = true;
  sendStatements(Statements, aliveAndLostPeers(), Base, Now, Out);
}

void store_control_state::sendStatements(
    std::span<const server_statement> Statements,
    const std::vector<endpoint_text> &To, const peer_message &Base,
    steady_time Now, store_control_actions &Out) const {
  do {
    auto Part =
        Statements.first(std::min(Statements.size(), StatementsPerDatagram));
    Statements = Statements.subspan(Part.size());
    peer_message Message = Base;
    Message.Statements.assign(Part.begin(), Part.end());
    sendNews(std::move(Message), To, Now, Out);
  } while (!Statements.empty());
}

std::vector<endpoint_text> store_control_state::addressesOf(
    std::span<const proxy_member *const> Members) const {
  std::vector<endpoint_text> Addresses;
  for (const proxy_member *Member : Members)
    if (Member->Id != Settings.Self.Id)
      Addresses.push_back(Member->Address);
  return Addresses;
}

std::vector<endpoint_text> store_control_state::aliveAndLostPeers() const {
  std::vector<endpoint_text> Addresses;
  auto Add = [&](std::span<const proxy_member> Peers) {
    for (const proxy_member &Peer : Peers)
      if (Peer.Id != Settings.Self.Id)
        Addresses.push_back(Peer.Address);
  };
  Add(Members.members());
  Add(Members.deadMembers());
  return Addresses;
}

void store_control_state::onNotice(const control_notice &Notice,
                                   steady_time Now,
                                   store_control_actions &Out) {
  if (const auto *Reports = std::get_if<work_reports>(&Notice)) {
    peer_message News;
    News.Work = Reports->Services;
    // Only the daemons that callers are directed to need the load of the pools.
    sendNews(std::move(News), addressesOf(Entries), Now, Out);
  }
  if (const auto *Report = std::get_if<quota_report>(&Notice))
    reportQuotaUse(*Report, Now, Out);
  if (const auto *Death = std::get_if<server_death>(&Notice)) {
    event_line("server_died", event_level::Warning)
        .with("service", Death->Service)
        .with("server", Death->Server)
        .with("fingerprint", Death->Fingerprint);
    Out.emplace_back(notify_traffic_threads{*Death});
    Deaths.onOwnDeath(*Death, Now);
    sendDeaths(Now, Out);
  }
}

void store_control_state::sendDeaths(steady_time Now,
                                     store_control_actions &Out) {
  auto Batch = Deaths.takeBatch(Now);
  if (!Batch)
    return;
  auto Send = [&](std::vector<server_death> &Part,
                  std::vector<endpoint_text> To) {
    if (Part.empty())
      return;
    peer_message News;
    News.Deaths = std::move(Part);
    sendNews(std::move(News), std::move(To), Now, Out);
  };
  Send(Batch->ToEntries, addressesOf(Entries));
  Send(Batch->ToAll, aliveAndLostPeers());
}

void store_control_state::sendNews(peer_message Message,
                                   std::vector<endpoint_text> To,
                                   steady_time Now,
                                   store_control_actions &Out) const {
  Message.Gossip.Kind = gossip_kind::ItemsOnly;
  Message.Gossip.SenderId = Settings.Self.Id;
  addDigests(Message, Now);
  if (!To.empty())
    Out.emplace_back(send_to_members{std::move(To), std::move(Message)});
}

void store_control_state::addDigests(peer_message &Message,
                                     steady_time Now) const {
  Message.Digest.Configuration = version();
  Message.ServersDigest = Directory.digest();
  Message.ServersAge = serversAge(Now);
  Message.Sent = timestampOf(Now);
  Message.StoreHistory = StoreHistory;
}

void store_control_state::sendGossip(std::vector<outgoing_gossip> &Gossip,
                                     steady_time Now,
                                     store_control_actions &Out,
                                     const peer_message *Received) const {
  for (outgoing_gossip &Outgoing : Gossip) {
    peer_message Message;
    Message.Gossip = std::move(Outgoing.Message);
    if (Received && Received->Gossip.Kind == gossip_kind::Ping &&
        Message.Gossip.Kind == gossip_kind::Ack &&
        Outgoing.To == Received->Gossip.SenderAddress)
      Message.AnswerTo = Received->Sent;
    addDigests(Message, Now);
    Out.emplace_back(send_datagram{std::move(Outgoing.To), std::move(Message)});
  }
}

} // namespace endiverail
