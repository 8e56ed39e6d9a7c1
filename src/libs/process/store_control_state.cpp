#include "process/store_control_state.h"

#include "log/event_line.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// The members are listed only once; afterwards members announce themselves to
/// each other.
constexpr poll_settings MembersPolling{milliseconds(60'000), milliseconds(0)};

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

} // namespace

store_control_state::store_control_state(store_control_settings InitialSettings,
                                         swim_timing Timing)
    : Settings(std::move(InitialSettings)),
      Members(Settings.Self, Timing, Settings.Seed),
      ConfigurationConsumer(store_topic::Configuration, Settings.Configuration,
                            Settings.Seed + 1),
      ServersConsumer(store_topic::BackendServers, Settings.Servers,
                      Settings.Seed + 2),
      MembersConsumer(store_topic::Members, MembersPolling, Settings.Seed + 3),
      CopyRequester(Settings.Self.DataCentre, Settings.Seed + 5),
      Quota(Settings.Quotas, Settings.Self.Id), Random(Settings.Seed + 4) {
  Members.addCandidates(Settings.Seeds);
}

topic_consumer &store_control_state::consumer(store_topic Topic) {
  switch (Topic) {
  case store_topic::Configuration:
    return ConfigurationConsumer;
  case store_topic::BackendServers:
    return ServersConsumer;
  case store_topic::Members:
    break;
  }
  return MembersConsumer;
}

/// A daemon that has just started knows few other members. It would take itself
/// for a reader until it knows all of them.
bool store_control_state::isReader() const {
  return Settled &&
         std::ranges::find(Readers, Settings.Self.Id) != Readers.end();
}

steady_time store_control_state::readersTimeOutAt() const {
  return std::max(LastReaderMessage, Started) + ReaderTimeout;
}

/// Each daemon makes its first listing itself, so that its start doesn't depend
/// on others.
steady_time store_control_state::serversReadDue() const {
  return !ServersKnown || isReader() ? steady_time{} : Freshness.storeReadDue();
}

/// Only the readers poll the configuration; the others copy it from peers.
steady_time store_control_state::configurationReadDue() const {
  if (!Configuration)
    return steady_time{};
  steady_time Begin = Started + SettlingTime;
  steady_time Due = isReader() ? Begin : std::max(Begin, readersTimeOutAt());
  auto Exhausted = CopyRequester.exhaustedFrom(version());
  return Exhausted ? std::min(*Exhausted, Due) : Due;
}

steady_time store_control_state::settlingEnd() const {
  steady_time Latest = Started + SettlingTime;
  return MembersListed ? std::min(Latest, *MembersListed + InitialPingTime)
                       : Latest;
}

void store_control_state::tick(steady_time Now, store_control_actions &Out) {
  if (Started == steady_time{})
    Started = Now;
  std::vector<outgoing_gossip> Gossip;
  probeLostMember(Now);
  Members.tick(Now, Gossip);
  sendGossip(Gossip, Now, Out);
  if (!Registered && !PutPending && Now >= PutDue) {
    PutPending = true;
    Out.emplace_back(start_store_call{put_record{
        store_topic::Members, Settings.Self.Id, Settings.Self.Address}});
  }
  auto StartIfDue = [&](topic_consumer &Consumer) {
    bool Listing = !Consumer.hasListing();
    auto Call = Consumer.next(Now);
    if (!Call)
      return;
    if (&Consumer == &ServersConsumer && Listing &&
        std::get<list_newest>(*Call).AfterKey.empty())
      Directory.beginListing();
    Out.emplace_back(start_store_call{std::move(*Call), Consumer.connection()});
  };
  endTimedOutCalls(Now, Out);
  if (auto Source = CopyRequester.nextPeer(completeVersion(), Now))
    Out.emplace_back(fetch_copy{std::move(*Source)});
  if (CopyRequester.takeExhausted(version(), Now) &&
      !ConfigurationConsumer.callPending())
    ConfigurationConsumer.restart(Now);
  if (Now >= configurationReadDue()) {
    // Other daemons than the readers may not have used their connection for
    // long.
    if (!isReader())
      ConfigurationConsumer.useFreshConnection();
    StartIfDue(ConfigurationConsumer);
  }
  if (Now >= serversReadDue()) {
    if (ServersConsumer.hasListing() &&
        Now > ServersConsumer.lastResponse() + MaxReadGap &&
        !ServersConsumer.failing())
      ServersConsumer.restart(Now);
    // With few reads, the loss of a reused connection would not be noticed in
    // time.
    if (!isReader())
      ServersConsumer.useFreshConnection();
    // An isolated daemon can't learn from others that the store is available
    // again.
    if (ServersConsumer.failing() && Now >= isolatedFrom())
      ServersConsumer.limitRetryDelay(topic_consumer::IsolatedRetryDelay);
    StartIfDue(ServersConsumer);
  }
  // If two daemons start together, the one that registers last finds the other.
  if (Registered)
    StartIfDue(MembersConsumer);
  if (ServersKnown)
    queryServers(Now, Out);
  bool Expired = Directory.removeExpired(Now);
  logServerChanges("time");
  if (Expired)
    broadcastServers(Now, Out);
  sendDeaths(Now, Out);
  announceQuotaShares(Now, Out);
  publishIfChanged(Now, Out);
}

steady_time store_control_state::nextWake() const {
  steady_time Next = Members.nextWake();
  auto Consider = [&](std::optional<steady_time> At) {
    if (At)
      Next = std::min(Next, *At);
  };
  if (auto Due = ConfigurationConsumer.nextWake())
    Consider(ConfigurationConsumer.callPending()
                 ? *Due
                 : std::max(*Due, configurationReadDue()));
  Consider(CopyRequester.nextWake(completeVersion()));
  if (auto Due = ServersConsumer.nextWake())
    Consider(ServersConsumer.callPending() ? *Due
                                           : std::max(*Due, serversReadDue()));
  if (ServersConsumer.failing() && !ServersConsumer.callPending())
    Consider(std::max(isolatedFrom(), ServersConsumer.failedAt() +
                                          topic_consumer::IsolatedRetryDelay));
  if (Registered)
    Consider(MembersConsumer.nextWake());
  else if (!PutPending)
    Consider(PutDue);
  Consider(Directory.nextWake());
  Consider(Deaths.nextWake());
  if (Configuration && Configuration->Organisations)
    Consider(Quota.nextWake());
  if (ServersKnown)
    Consider(Freshness.nextWake());
  if (!Settled)
    Consider(settlingEnd());
  if (Members.hasChanges())
    Consider(LastPublished + MemberPublishInterval);
  return Next;
}

/// After a network partition, members on both sides consider each other lost,
/// so they have to be pinged again.
void store_control_state::probeLostMember(steady_time Now) {
  if (Now < NextLostPing || KnownPeers.empty())
    return;
  NextLostPing = Now + LostMemberPingInterval;
  std::uniform_int_distribution<std::size_t> Any(0, KnownPeers.size() - 1);
  auto Chosen =
      std::next(KnownPeers.begin(), static_cast<std::ptrdiff_t>(Any(Random)));
  Members.addCandidates(std::span(&Chosen->second, 1));
}

void store_control_state::onConfiguration(published_configuration Newer,
                                          std::string_view Value,
                                          steady_time Now) {
  applyConfiguration(std::move(Newer), Value, "store", Now);
}

void store_control_state::applyConfiguration(published_configuration Newer,
                                             std::string_view Value,
                                             std::string_view Source,
                                             steady_time Now) {
  if (Configuration && Newer.Version <= Configuration->Version)
    return;
  bool Announced = CopyRequester.newestVersion() >= Newer.Version;
  ConfigurationDelay =
      Announced
          ? std::chrono::ceil<milliseconds>(Now - CopyRequester.announcedAt())
          : milliseconds(0);
  event_line("configuration_in_force")
      .with("version", Newer.Version)
      .with("before", version())
      .with("source", Source)
      .with("announced_ms", ConfigurationDelay.count())
      .with("routes", Newer.Routes->routes().size())
      .with("organisations", Newer.Organisations
                                 ? Newer.Organisations->organisations().size()
                                 : 0);
  Configuration = std::move(Newer);
  ConfigurationValue = Value;
  Changed = true;
  AnnouncePending = isReader();
}

std::optional<fleet_copy>
store_control_state::copyForPeer(steady_time Now) const {
  if (!ready())
    return std::nullopt;
  return fleet_copy{version(), ConfigurationValue, Directory.allStatements(Now),
                    StoreHistory};
}

void store_control_state::onCopyAnswering(std::string_view Peer) {
  CopyRequester.onResponseStarted(Peer);
}

void store_control_state::onCopy(std::string_view Peer, const fleet_copy &Copy,
                                 published_configuration Decoded,
                                 steady_time Now, store_control_actions &Out) {
  hearHistory(Copy.StoreHistory, Peer, Now, Out);
  if (Decoded.Version > completeVersion())
    CopyRequester.onCopy(Peer);
  else
    CopyRequester.onFailure(Peer, Now);
  event_line("copy_taken")
      .with("version", Copy.Version)
      .with("before", version())
      .with("servers", Copy.Servers.size());
  applyConfiguration(std::move(Decoded), Copy.Configuration, "copy", Now);
  // A daemon that has read the servers itself has information at least as new.
  if (!ServersKnown) {
    for (const server_statement &Statement : Copy.Servers)
      Directory.mergeStatement(Statement, Now);
    Directory.takeStatements();
    logServerChanges("copy");
    // The store may lack some of these servers.
    if (Copy.StoreHistory < StoreHistory)
      Directory.onStoreReturned(Now);
    ServersKnown = true;
    Changed = true;
  }
  tick(Now, Out);
}

void store_control_state::onCopyFailed(std::string_view Peer, steady_time Now) {
  CopyRequester.onFailure(Peer, Now);
}

void store_control_state::onServer(std::string_view Id,
                                   const server_entry &Entry, steady_time Now) {
  Directory.apply(Id, Entry, Now);
}

void store_control_state::onServerUnreadable(std::string_view Id) {
  Directory.onUnreadableRecord(Id);
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
  Members.addCandidates(std::span(&PeerAddress, 1));
}

void store_control_state::pollConfigurationNow(steady_time Now,
                                               store_control_actions &Out) {
  if (Now < LastImmediatePoll + ImmediatePollInterval)
    return;
  LastImmediatePoll = Now;
  if (ConfigurationConsumer.pollNow(Now))
    Out.emplace_back(abandon_store_calls{store_topic::Configuration});
}

void store_control_state::updateStoreAvailability(bool Available,
                                                  steady_time Now,
                                                  store_control_actions &Out) {
  if (StoreUnavailable != Available)
    return;
  StoreUnavailable = !Available;
  if (StoreUnavailable) {
    event_line("store_lost", event_level::Warning)
        .with("version", version())
        .with("servers", Directory.servers().size());
    Directory.onStoreUnavailable();
    return;
  }
  event_line("store_regained").with("version", version());
  Directory.onStoreAvailable();
  // A long-polling read may be stuck on a connection from before the outage.
  pollConfigurationNow(Now, Out);
}

void store_control_state::onPage(store_topic Topic, const keyed_page &Page,
                                 steady_time Now, store_control_actions &Out) {
  topic_consumer &Consumer = consumer(Topic);
  Consumer.onPage(Page, Now);
  if (Topic == store_topic::BackendServers) {
    if (Consumer.completedListing()) {
      Directory.endListing(Now);
      Changed |= !std::exchange(ServersKnown, true);
    }
    updateStoreAvailability(true, Now, Out);
    if (auto AsOf = Consumer.upToDateAsOf())
      confirmServers(*AsOf);
    Directory.removeExpired(Now);
    logServerChanges("store");
    broadcastServers(Now, Out);
  }
  if (Topic == store_topic::Members && Consumer.completedListing()) {
    // Later listings find few members that are not known yet.
    if (!std::exchange(MembersListed, MembersListed.value_or(Now)))
      pingListedMembers(Now, Out);
  }
  tick(Now, Out);
}

/// After a power failure all daemons start together. Until they know each other
/// they direct callers to slow hosts and share no information on backend
/// servers.
void store_control_state::pingListedMembers(steady_time Now,
                                            store_control_actions &Out) {
  std::vector<endpoint_text> Addresses;
  std::ranges::sample(KnownPeers | std::views::values,
                      std::back_inserter(Addresses), MaxInitialPings, Random);
  std::vector<outgoing_gossip> Gossip;
  Members.pingAddresses(Addresses, Gossip);
  sendGossip(Gossip, Now, Out);
}

void store_control_state::onRecordsDeleted(store_topic Topic, steady_time Now) {
  event_line("records_deleted").with("topic", topicName(Topic));
  consumer(Topic).onRecordsDeleted(Now);
}

void store_control_state::onCallFailed(store_topic Topic, steady_time Now,
                                       store_control_actions &Out) {
  bool StoreFailed = consumer(Topic).onFailure(
      Now, isReader() ? topic_consumer::ReaderBackoff
                      : topic_consumer::NonReaderBackoff);
  if (Topic != store_topic::BackendServers || !StoreFailed)
    return;
  Freshness.onStoreTimeout(Now);
  updateStoreAvailability(false, Now, Out);
}

bool store_control_state::acceptHistory(std::optional<store_topic> Topic,
                                        std::uint64_t History, steady_time Now,
                                        store_control_actions &Out) {
  std::uint64_t Known = StoreHistory.value_or(History);
  StoreHistory = std::max(Known, History);
  if (History == Known)
    return true;
  if (History < Known) {
    event_line("store_answer_dropped", event_level::Warning)
        .with("topic", Topic ? topicName(*Topic) : "write")
        .with("history", History)
        .with("known", Known);
    if (Topic)
      consumer(*Topic).onFailure(Now);
    return false;
  }
  event_line("store_returned", event_level::Warning)
      .with("history", History)
      .with("before", Known)
      .with("version", version());
  Directory.onStoreReturned(Now);
  for (store_topic Each : StoreTopics) {
    if (consumer(Each).pollNow(Now))
      Out.emplace_back(abandon_store_calls{Each});
    consumer(Each).restart(Now);
  }
  // The registration may be among what the store has lost.
  Registered = false;
  PutDue = Now;
  tick(Now, Out);
  return false;
}

void store_control_state::hearHistory(std::optional<std::uint64_t> History,
                                      std::string_view Peer, steady_time Now,
                                      store_control_actions &Out) {
  if (!History || History <= StoreHistory)
    return;
  auto Before = std::exchange(StoreHistory, History);
  if (!Before && !ServersKnown)
    return;
  event_line("store_returned", event_level::Warning)
      .with("history", *History)
      .with("before", Before.value_or(0))
      .with("peer", Peer)
      .with("version", version());
  Directory.onStoreReturned(Now);
  auto Within = [&](milliseconds Spread) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, Spread.count())(Random));
  };
  milliseconds Spread = std::max(
      MinRegistrationSpread, RegistrationPace * std::ssize(PublishedMembers));
  steady_time NextPut = Now + Within(Spread);
  PutDue = Registered || PutPending ? NextPut : std::min(PutDue, NextPut);
  Registered = false;
  auto Restart = [&](store_topic Topic, steady_time Earliest) {
    if (consumer(Topic).restartWhenDue(Earliest))
      Out.emplace_back(abandon_store_calls{Topic});
  };
  steady_time Reread = isReader() ? Now : Now + Within(RereadSpread);
  Restart(store_topic::Configuration, Reread);
  Restart(store_topic::BackendServers, Reread);
  // All others that have heard of it are registered by then.
  Restart(store_topic::Members, MembersListed ? PutDue + Spread : Now);
}

void store_control_state::onCallSent(store_topic Topic, steady_time Now) {
  consumer(Topic).onSent(Now);
}

void store_control_state::onCallAnswering(store_topic Topic, steady_time Now) {
  consumer(Topic).onResponseStarted(Now);
}

void store_control_state::endTimedOutCalls(steady_time Now,
                                           store_control_actions &Out) {
  for (store_topic Topic : StoreTopics)
    switch (consumer(Topic).takeTimeout(Now)) {
    case call_timeout::None:
      break;
    case call_timeout::Soft:
      if (Topic == store_topic::BackendServers)
        Freshness.onStoreTimeout(Now);
      break;
    case call_timeout::Hard:
      event_line("store_silent", event_level::Warning)
          .with("topic", topicName(Topic));
      Out.emplace_back(abandon_store_calls{Topic});
      onCallFailed(Topic, Now, Out);
      break;
    }
}

void store_control_state::onPut(bool Succeeded, steady_time Now) {
  PutPending = false;
  Registered = Succeeded;
  PutDue = Now + PutRetryDelay;
}

void store_control_state::drain(const shutdown_schedule &Planned,
                                steady_time Now, store_control_actions &Out) {
  Draining = true;
  End = Planned;
  Members.setOffered(false);
  std::vector<outgoing_gossip> Gossip;
  Members.pingRandomPeers(Members.size(), Gossip);
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
  if (!Settled && Now >= settlingEnd())
    Changed = Settled = true;
  bool Urgent = Directory.takeChanged();
  Urgent = std::exchange(Changed, false) || Urgent;
  if (!Urgent && Now < LastPublished + MemberPublishInterval)
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
    Version->Organisations = Configuration->Organisations;
    if (Version->Organisations)
      updateQuotaMembers(Now);
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
  if (std::exchange(AnnouncePending, false))
    sendNews({}, aliveAndLostPeers(), Now, Out);
}

bool store_control_state::takeMemberChanges() {
  for (const member_change &Change : Members.takeChanges())
    event_line("member_changed")
        .with("member", Change.Id)
        .with("state", stateName(Change.State));
  if (std::exchange(PublishedMembersRevision, Members.revision()) ==
      Members.revision())
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
