#include "process/store_control_state.h"

#include "log/event_line.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// The listing of members is read once; after that members tell each other.
constexpr follow_terms MembersTerms{milliseconds(60'000), milliseconds(0)};

std::string_view stateName(member_state State) {
  switch (State) {
  case member_state::Alive:
    return "alive";
  case member_state::Suspect:
    return "suspected";
  case member_state::Dead:
    return "lost";
  case member_state::Left:
    break;
  }
  return "gone";
}

std::vector<std::string> idsOf(std::span<const server_change> Changes,
                               server_change_kind Kind) {
  std::vector<std::string> Ids;
  for (const server_change &Change : Changes)
    if (Change.Kind == Kind)
      Ids.push_back(Change.Id);
  return Ids;
}

} // namespace

store_control_state::store_control_state(store_control_settings From,
                                         swim_timing Timing)
    : Settings(std::move(From)), Members(Settings.Self, Timing, Settings.Seed),
      ConfigurationFollower(store_topic::Configuration, Settings.Configuration,
                            Settings.Seed + 1),
      ServersFollower(store_topic::BackendServers, Settings.Servers,
                      Settings.Seed + 2),
      MembersFollower(store_topic::Members, MembersTerms, Settings.Seed + 3),
      Seeker(Settings.Self.DataCentre, Settings.Seed + 5),
      Random(Settings.Seed + 4) {
  Members.suggest(Settings.Seeds);
}

topic_follower &store_control_state::follower(store_topic Topic) {
  switch (Topic) {
  case store_topic::Configuration:
    return ConfigurationFollower;
  case store_topic::BackendServers:
    return ServersFollower;
  case store_topic::Members:
    break;
  }
  return MembersFollower;
}

bool store_control_state::isReader() const {
  return std::ranges::find(Readers, Settings.Self.Id) != Readers.end();
}

steady_time store_control_state::readersSilentFrom() const {
  return std::max(LastReaderNews, Started) + ReaderSilence;
}

/// The first listing is everybody's own, so that a start depends on nobody.
steady_time store_control_state::readsServersFrom() const {
  return !ServersKnown || isReader() ? steady_time{} : Freshness.readFrom();
}

/// Few follow the configuration at the store; the others copy it from peers.
steady_time store_control_state::readsConfigurationFrom() const {
  if (!Configuration || Seeker.hasGivenUp(version()))
    return steady_time{};
  steady_time Begin = Started + SettlingTime;
  return isReader() ? Begin : std::max(Begin, readersSilentFrom());
}

steady_time store_control_state::settledFrom() const {
  steady_time Latest = Started + SettlingTime;
  return MembersListed ? std::min(Latest, *MembersListed + MeetingTime)
                       : Latest;
}

void store_control_state::tick(steady_time Now, store_control_actions &Out) {
  if (Started == steady_time{})
    Started = Now;
  std::vector<outgoing_gossip> Gossip;
  suggestLostMember(Now);
  Members.tick(Now, Gossip);
  sendGossip(Gossip, Now, Out);
  if (!Registered && !PutOut && Now >= PutDue) {
    PutOut = true;
    Out.emplace_back(start_store_call{put_record{
        store_topic::Members, Settings.Self.Id, Settings.Self.Address}});
  }
  auto StartDue = [&](topic_follower &Follower) {
    bool Listing = !Follower.listed();
    auto Call = Follower.next(Now);
    if (!Call)
      return;
    if (&Follower == &ServersFollower && Listing &&
        std::get<list_newest>(*Call).After.empty())
      Directory.beginListing();
    Out.emplace_back(start_store_call{std::move(*Call), Follower.connection()});
  };
  endSilentCalls(Now, Out);
  if (Now >= readsConfigurationFrom())
    StartDue(ConfigurationFollower);
  if (auto Source = Seeker.next(completeVersion(), Now))
    Out.emplace_back(fetch_copy{std::move(*Source)});
  if (Now >= readsServersFrom()) {
    if (ServersFollower.listed() &&
        Now > ServersFollower.lastAnswer() + LongestGap &&
        !ServersFollower.failing())
      ServersFollower.restart(Now);
    // Where few reads come, nothing tells whether a kept connection is silent.
    if (!isReader())
      ServersFollower.useFreshConnection();
    // Nobody else can tell that the store is back.
    if (ServersFollower.failing() && Now >= lonelyFrom())
      ServersFollower.shortenPause(topic_follower::LonelyPause);
    StartDue(ServersFollower);
  }
  // Of two that start together, the one that registers last finds the other.
  if (Registered)
    StartDue(MembersFollower);
  if (ServersKnown)
    askForServers(Now, Out);
  bool Expired = Directory.expire(Now);
  logServerChanges("time");
  if (Expired)
    tellServers(Now, Out);
  publishIfChanged(Now, Out);
}

steady_time store_control_state::nextWake() const {
  steady_time Next = Members.nextWake();
  auto Consider = [&](std::optional<steady_time> At) {
    if (At)
      Next = std::min(Next, *At);
  };
  if (auto Due = ConfigurationFollower.nextWake())
    Consider(ConfigurationFollower.callOut()
                 ? *Due
                 : std::max(*Due, readsConfigurationFrom()));
  Consider(Seeker.nextWake(completeVersion()));
  if (auto Due = ServersFollower.nextWake())
    Consider(ServersFollower.callOut() ? *Due
                                       : std::max(*Due, readsServersFrom()));
  if (ServersFollower.failing() && !ServersFollower.callOut())
    Consider(std::max(lonelyFrom(), ServersFollower.failedAt() +
                                        topic_follower::LonelyPause));
  if (Registered)
    Consider(MembersFollower.nextWake());
  else if (!PutOut)
    Consider(PutDue);
  Consider(Directory.nextWake());
  if (ServersKnown)
    Consider(Freshness.nextWake());
  if (!Settled)
    Consider(settledFrom());
  if (Members.hasChanges())
    Consider(LastPublished + MemberChangePause);
  return Next;
}

/// Members on both sides of a partition take each other for lost; somebody has
/// to ask again.
void store_control_state::suggestLostMember(steady_time Now) {
  if (Now < NextLostPing || KnownPeers.empty())
    return;
  NextLostPing = Now + LostMemberPing;
  std::uniform_int_distribution<std::size_t> Any(0, KnownPeers.size() - 1);
  auto Chosen =
      std::next(KnownPeers.begin(), static_cast<std::ptrdiff_t>(Any(Random)));
  Members.suggest(std::span(&Chosen->second, 1));
}

void store_control_state::onConfiguration(published_configuration Newer,
                                          std::string_view Value) {
  if (Configuration && Newer.Version <= Configuration->Version)
    return;
  event_line("configuration_in_force")
      .with("version", Newer.Version)
      .with("before", version())
      .with("routes", Newer.Routes->routes().size());
  Configuration = std::move(Newer);
  ConfigurationValue = Value;
  Changed = true;
  Announcing = isReader();
}

std::optional<fleet_copy>
store_control_state::copyForPeer(steady_time Now) const {
  if (!ready())
    return std::nullopt;
  return fleet_copy{version(), ConfigurationValue,
                    Directory.allStatements(Now)};
}

void store_control_state::onCopy(const fleet_copy &Copy,
                                 published_configuration Decoded,
                                 steady_time Now, store_control_actions &Out) {
  if (Decoded.Version > completeVersion())
    Seeker.onCopy();
  else
    Seeker.onFailure(Now);
  event_line("copy_taken")
      .with("version", Copy.Version)
      .with("before", version())
      .with("servers", Copy.Servers.size());
  onConfiguration(std::move(Decoded), Copy.Configuration);
  // Who has read the servers knows them at least as well.
  if (!ServersKnown) {
    for (const server_statement &Statement : Copy.Servers)
      Directory.learn(Statement, Now);
    Directory.takeStatements();
    logServerChanges("copy");
    ServersKnown = true;
    Changed = true;
  }
  tick(Now, Out);
}

void store_control_state::onCopyFailed(steady_time Now) {
  Seeker.onFailure(Now);
  if (Seeker.hasGivenUp(version()))
    ConfigurationFollower.restart(Now);
}

void store_control_state::onServer(std::string_view Id,
                                   const server_entry &Entry, steady_time Now) {
  Directory.apply(Id, Entry, Now);
}

void store_control_state::onServerUnreadable(std::string_view Id) {
  Directory.keep(Id);
}

void store_control_state::onServerRemoved(std::string_view Id,
                                          steady_time Now) {
  Directory.remove(Id, Now);
}

void store_control_state::onMember(std::string_view Id,
                                   const endpoint_text &PeerAddress) {
  if (Id == Settings.Self.Id)
    return;
  KnownPeers.insert_or_assign(std::string(Id), PeerAddress);
  Members.suggest(std::span(&PeerAddress, 1));
}

void store_control_state::hurryConfiguration(steady_time Now,
                                             store_control_actions &Out) {
  if (Now < LastHurry + HurryPause)
    return;
  LastHurry = Now;
  if (ConfigurationFollower.hurry(Now))
    Out.emplace_back(abandon_store_calls{store_topic::Configuration});
}

void store_control_state::noteStore(bool Answers, steady_time Now,
                                    store_control_actions &Out) {
  if (StoreAway != Answers)
    return;
  StoreAway = !Answers;
  if (StoreAway) {
    event_line("store_lost", event_level::Warning)
        .with("version", version())
        .with("servers", Directory.servers().size());
    Directory.onStoreAway();
    return;
  }
  event_line("store_regained").with("version", version());
  Directory.onStoreBack();
  // A read that waits may hang on a connection from before the loss.
  hurryConfiguration(Now, Out);
}

void store_control_state::onPage(store_topic Topic, const keyed_page &Page,
                                 steady_time Now, store_control_actions &Out) {
  topic_follower &Follower = follower(Topic);
  Follower.onPage(Page, Now);
  if (Topic == store_topic::BackendServers) {
    if (Follower.endedListing()) {
      Directory.endListing(Now);
      Changed = Changed || !std::exchange(ServersKnown, true);
    }
    noteStore(true, Now, Out);
    if (auto AsOf = Follower.completeAsOf())
      confirmServers(*AsOf);
    Directory.expire(Now);
    logServerChanges("store");
    tellServers(Now, Out);
  }
  if (Topic == store_topic::Members && Follower.endedListing()) {
    MembersListed = MembersListed.value_or(Now);
    meetListedMembers(Now, Out);
  }
  tick(Now, Out);
}

/// After a loss of power all daemons start together, and until they know each
/// other they lead callers to weak hosts and share nothing that they learn of
/// the backend servers.
void store_control_state::meetListedMembers(steady_time Now,
                                            store_control_actions &Out) {
  std::vector<endpoint_text> Addresses;
  std::ranges::sample(KnownPeers | std::views::values,
                      std::back_inserter(Addresses), MostMetAtOnce, Random);
  std::vector<outgoing_gossip> Gossip;
  Members.meet(Addresses, Gossip);
  sendGossip(Gossip, Now, Out);
}

void store_control_state::onForgotten(store_topic Topic, steady_time Now) {
  event_line("records_deleted").with("topic", topicName(Topic));
  follower(Topic).onForgotten(Now);
}

void store_control_state::onCallFailed(store_topic Topic, steady_time Now,
                                       store_control_actions &Out) {
  bool Shown = follower(Topic).onFailure(
      Now, isReader() ? topic_follower::EagerBackOff
                      : topic_follower::RelaxedBackOff);
  if (Topic != store_topic::BackendServers || !Shown)
    return;
  Freshness.onStoreSilent(Now);
  noteStore(false, Now, Out);
}

void store_control_state::onCallSent(store_topic Topic, steady_time Now) {
  follower(Topic).onSent(Now);
}

void store_control_state::onCallAnswering(store_topic Topic, steady_time Now) {
  follower(Topic).onAnswering(Now);
}

void store_control_state::endSilentCalls(steady_time Now,
                                         store_control_actions &Out) {
  for (store_topic Topic : {store_topic::Configuration,
                            store_topic::BackendServers, store_topic::Members})
    switch (follower(Topic).takeSilence(Now)) {
    case call_silence::None:
      break;
    case call_silence::Noticed:
      if (Topic == store_topic::BackendServers)
        Freshness.onStoreSilent(Now);
      break;
    case call_silence::Lost:
      event_line("store_silent", event_level::Warning)
          .with("topic", topicName(Topic));
      Out.emplace_back(abandon_store_calls{Topic});
      onCallFailed(Topic, Now, Out);
      break;
    }
}

void store_control_state::onPut(bool Succeeded, steady_time Now) {
  PutOut = false;
  Registered = Succeeded;
  PutDue = Now + PutRetry;
}

void store_control_state::onDatagram(const peer_message &Message,
                                     steady_time Now,
                                     store_control_actions &Out) {
  LastHeard = Now;
  std::vector<outgoing_gossip> Gossip;
  Members.receive(Message.Gossip, Now, Gossip);
  sendGossip(Gossip, Now, Out, &Message);
  if (Message.Digest.Configuration > completeVersion()) {
    auto Sender = std::ranges::find(PublishedMembers, Message.Gossip.SenderId,
                                    &proxy_member::Id);
    if (Sender != PublishedMembers.end())
      Seeker.onTold(*Sender, Message.Digest.Configuration, Now);
    if (isReader())
      hurryConfiguration(Now, Out);
  }
  learnServers(Message, Now, Out);
  answerQuestion(Message, Now, Out);
  for (const work_report &Report : Message.Work)
    Out.emplace_back(
        tell_traffic_threads{peer_work{Message.Gossip.SenderId, Report}});
  for (const server_death &Death : Message.Deaths)
    Out.emplace_back(tell_traffic_threads{Death});
  publishIfChanged(Now, Out);
}

std::optional<steady_time>
store_control_state::confirmedAsOf(const peer_message &Message,
                                   steady_time Now) {
  if (!Message.ServersAge || !Message.Sent)
    return std::nullopt;
  const std::string &Sender = Message.Gossip.SenderId;
  if (Message.AnswerTo)
    Clocks.onAnswer(Sender, *Message.AnswerTo, *Message.Sent, Now);
  auto Sent = Clocks.sentAt(Sender, *Message.Sent, Now);
  return Sent ? std::optional(*Sent - *Message.ServersAge) : std::nullopt;
}

void store_control_state::askClockOf(const gossip_message &Member,
                                     steady_time Now,
                                     store_control_actions &Out) {
  if (!Clocks.takeQuestion(Member.SenderId, Now))
    return;
  std::vector<outgoing_gossip> Gossip;
  Members.meet(std::span(&Member.SenderAddress, 1), Gossip);
  sendGossip(Gossip, Now, Out);
}

void store_control_state::learnServers(const peer_message &Message,
                                       steady_time Now,
                                       store_control_actions &Out) {
  if (Message.ReadsStore)
    LastReaderNews = Now;
  for (const server_statement &Statement : Message.Statements)
    Directory.learn(Statement, Now);
  logServerChanges("peer", Message.Gossip.SenderId);
  // Only readers pass on what they hear.
  if (!isReader())
    Directory.takeStatements();
  if (Message.ReadsStore)
    askClockOf(Message.Gossip, Now, Out);
  auto AsOf = confirmedAsOf(Message, Now);
  if (!ServersKnown || !Message.ServersAge)
    return;
  if (Message.ServersDigest != Directory.digest())
    Freshness.onDifference(Message.Gossip.SenderId, Message.ServersDigest,
                           AsOf.value_or(Now - *Message.ServersAge), Now);
  else if (AsOf)
    confirmServers(*AsOf);
}

void store_control_state::confirmServers(steady_time AsOf) {
  auto Before = Freshness.confirmedAt();
  // A daemon that was silent itself knows nothing of the store's absence.
  if (Before && AsOf - *Before >= Settings.RegistrationInterval &&
      Freshness.storeSilentSince(*Before))
    Directory.beginGrace(AsOf);
  Freshness.confirm(AsOf);
}

void store_control_state::askForServers(steady_time Now,
                                        store_control_actions &Out) {
  if (auto Member = Freshness.takeDifference(Directory.digest(), Now))
    askMember(*Member, Now, Out);
  if (Freshness.takeQuestion(Now))
    if (auto Member = nextToAsk())
      askMember(*Member, Now, Out);
}

std::optional<std::string> store_control_state::nextToAsk() {
  // After each reader once it is another member's turn.
  std::size_t Turn = NextToAsk++ % (Readers.size() + 1);
  if (Turn < Readers.size() && Readers[Turn] != Settings.Self.Id)
    return Readers[Turn];
  if (PublishedMembers.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Any(0,
                                                 PublishedMembers.size() - 1);
  return PublishedMembers[Any(Random)].Id;
}

void store_control_state::askMember(std::string_view Id, steady_time Now,
                                    store_control_actions &Out) {
  auto Found = KnownPeers.find(Id);
  if (Found == KnownPeers.end())
    return;
  auto Parts = Directory.digestParts();
  peer_message Question;
  Question.Gossip.SenderAddress = Settings.Self.Address;
  Question.ServersQuestion.assign(Parts.begin(), Parts.end());
  sendNews(std::move(Question), {Found->second}, Now, Out);
}

void store_control_state::answerQuestion(const peer_message &Message,
                                         steady_time Now,
                                         store_control_actions &Out) {
  if (Message.ServersQuestion.empty() || !ServersKnown)
    return;
  if (Now >= AnswersSince + AnswerPeriod) {
    AnswersSince = Now;
    Answers = 0;
  }
  std::vector<server_statement> Differing =
      Directory.statementsThatDiffer(Message.ServersQuestion, Now);
  Answers += 1 + Differing.size() / StatementsPerDatagram;
  if (Answers > MostAnswers)
    return;
  peer_message Frame;
  Frame.AnswerTo = Message.Sent;
  sendStatements(Differing, {Message.Gossip.SenderAddress}, Frame, Now, Out);
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
      .with("store_away", StoreAway)
      .with("ready", idsOf(Changes, server_change_kind::Ready).size())
      .with("leaving", idsOf(Changes, server_change_kind::Leaving))
      .with("gone", idsOf(Changes, server_change_kind::Gone))
      .with("version", VersionNumber + 1);
}

void store_control_state::tellServers(steady_time Now,
                                      store_control_actions &Out) {
  std::vector<server_statement> Statements =
      Repeats.next(Directory.takeStatements(), Now);
  if (!isReader())
    return;
  peer_message Frame;
  Frame.ReadsStore = true;
  sendStatements(Statements, peersThatMayLive(), Frame, Now, Out);
}

void store_control_state::sendStatements(
    std::span<const server_statement> Statements,
    const std::vector<endpoint_text> &To, const peer_message &Frame,
    steady_time Now, store_control_actions &Out) const {
  do {
    auto Part =
        Statements.first(std::min(Statements.size(), StatementsPerDatagram));
    Statements = Statements.subspan(Part.size());
    peer_message Message = Frame;
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

std::vector<endpoint_text> store_control_state::peersThatMayLive() const {
  std::vector<endpoint_text> Addresses;
  auto Add = [&](std::span<const proxy_member> Peers) {
    for (const proxy_member &Peer : Peers)
      if (Peer.Id != Settings.Self.Id)
        Addresses.push_back(Peer.Address);
  };
  Add(Members.members());
  Add(Members.lostMembers());
  return Addresses;
}

void store_control_state::onNotice(const control_notice &Notice,
                                   steady_time Now,
                                   store_control_actions &Out) {
  if (const auto *Report = std::get_if<work_report>(&Notice)) {
    peer_message News;
    News.Work.push_back(*Report);
    // Only those that callers are led to need to know how the pools stand.
    sendNews(std::move(News), addressesOf(Entries), Now, Out);
  }
  if (const auto *Death = std::get_if<server_death>(&Notice)) {
    event_line("server_died", event_level::Warning)
        .with("service", Death->Service)
        .with("server", Death->Server)
        .with("fingerprint", Death->Fingerprint);
    peer_message News;
    News.Deaths.push_back(*Death);
    Out.emplace_back(tell_traffic_threads{*Death});
    sendNews(std::move(News), peersThatMayLive(), Now, Out);
  }
}

void store_control_state::sendNews(peer_message Message,
                                   std::vector<endpoint_text> To,
                                   steady_time Now,
                                   store_control_actions &Out) const {
  Message.Gossip.Kind = gossip_kind::News;
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
  Message.Sent = stampOf(Now);
}

void store_control_state::sendGossip(std::vector<outgoing_gossip> &Gossip,
                                     steady_time Now,
                                     store_control_actions &Out,
                                     const peer_message *Received) const {
  for (outgoing_gossip &Each : Gossip) {
    peer_message Message;
    Message.Gossip = std::move(Each.Message);
    if (Received && Received->Gossip.Kind == gossip_kind::Ping &&
        Message.Gossip.Kind == gossip_kind::Ack &&
        Each.To == Received->Gossip.SenderAddress)
      Message.AnswerTo = Received->Sent;
    addDigests(Message, Now);
    Out.emplace_back(send_datagram{std::move(Each.To), std::move(Message)});
  }
}

void store_control_state::drain(const shutdown_schedule &Planned,
                                steady_time Now, store_control_actions &Out) {
  Draining = true;
  End = Planned;
  Members.setOffered(false);
  std::vector<outgoing_gossip> Gossip;
  Members.greet(Members.size(), Gossip);
  sendGossip(Gossip, Now, Out);
  takeMemberChanges();
  publish(Now, Out);
}

void store_control_state::leave(steady_time Now, store_control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  Members.leave(Gossip);
  sendGossip(Gossip, Now, Out);
}

void store_control_state::publishIfChanged(steady_time Now,
                                           store_control_actions &Out) {
  if (!Settled && Now >= settledFrom())
    Changed = Settled = true;
  bool Urgent = Directory.takeChanged();
  Urgent = std::exchange(Changed, false) || Urgent;
  if (!Urgent && Now < LastPublished + MemberChangePause)
    return;
  if (!takeMemberChanges() && !Urgent)
    return;
  LastPublished = Now;
  publish(Now, Out);
}

void store_control_state::publish(steady_time Now, store_control_actions &Out) {
  auto Version = std::make_shared<fleet_version>();
  Version->Number = ++VersionNumber;
  Version->Ready = ready();
  Version->Draining = Draining;
  Version->ShutdownSchedule = End;
  Version->MembershipSettled = Settled;
  Version->SelfId = Settings.Self.Id;
  Version->SelfIncarnation = Settings.Self.Incarnation;
  if (Configuration) {
    Version->Configuration = Configuration->Services;
    Version->Routes = Configuration->Routes;
    Version->Limits = Configuration->Limits;
  }
  Version->View.Proxies = PublishedMembers;
  Version->View.Servers = Directory.servers();
  Entries =
      chooseAllEntries(PublishedMembers, requiredRequestRate(Version->View));
  Version->EntryCount = Entries.size();
  Version->EntryIndex = static_cast<std::size_t>(
      std::ranges::find(Entries, Settings.Self.Id, &proxy_member::Id) -
      Entries.begin());
  Out.emplace_back(publish_version{std::move(Version)});
  if (std::exchange(Announcing, false))
    sendNews({}, peersThatMayLive(), Now, Out);
}

bool store_control_state::takeMemberChanges() {
  for (const member_change &Change : Members.takeChanges())
    event_line("member_changed")
        .with("member", Change.Id)
        .with("state", stateName(Change.State));
  if (std::exchange(MembersTaken, Members.revision()) == Members.revision())
    return false;
  std::vector<proxy_member> Current = Members.members();
  if (Current == PublishedMembers)
    return false;
  PublishedMembers = std::move(Current);
  Readers = chooseStoreReaders(PublishedMembers);
  for (const proxy_member &Member : PublishedMembers)
    if (Member.Id != Settings.Self.Id)
      KnownPeers.insert_or_assign(Member.Id, Member.Address);
  return true;
}

} // namespace endiverail
