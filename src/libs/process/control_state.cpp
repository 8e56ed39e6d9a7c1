#include "process/control_state.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>

namespace endiverail {
namespace {

/// Read intervals per member, so that the total read rate of the fleet is
/// independent of its size.
constexpr milliseconds LogReadIntervalPerMember{25};
constexpr milliseconds HostsReadIntervalPerMember{100};
constexpr milliseconds MinLogReadInterval{150};
constexpr milliseconds MinHostsReadInterval{500};
constexpr milliseconds RetryDelay{1'000};

constexpr std::size_t AnnounceFanOut = 4;
/// If more changes than this are being forwarded, they are left to regular
/// gossip.
constexpr std::size_t MaxAnnouncedChanges = 8;
constexpr std::size_t MaxPendingPulls = 4;
constexpr milliseconds FullPullInterval{1'000};
constexpr std::size_t MinSyncedPeers = 2;
/// If no listed peer replies within this time, the daemon serves on its own.
constexpr milliseconds JoinTimeout{5'000};

constexpr milliseconds RefreshCheckInterval{1'000};
constexpr std::size_t MinServersForSelfSuspicion = 4;
constexpr milliseconds SelfSuspicionDuration{20'000};

std::size_t slotsOf(const service_status_report &Report) {
  return std::transform_reduce(Report.Servers.begin(), Report.Servers.end(),
                               std::size_t{0}, std::plus{},
                               [](const server_status &Server) {
                                 return static_cast<std::size_t>(Server.Limit);
                               });
}

result<configuration_state> createFold(const control_settings &Settings) {
  return configuration_state::create(Settings.CustomerKeys);
}

} // namespace

result<control_state> control_state::create(const control_settings &Settings,
                                            timeline &Events) {
  BOOST_LEAF_AUTO(ConfigurationState, createFold(Settings));
  return control_state(Settings, std::move(ConfigurationState), Events);
}

control_state::control_state(const control_settings &Settings,
                             configuration_state ConfigurationState,
                             timeline &Events)
    : Settings(Settings), ConfigurationState(std::move(ConfigurationState)),
      Members(Settings.Self, Settings.Swim, Settings.Seed), Events(Events),
      Random(Settings.Seed), FleetGossip(Settings.KeyLifetime),
      EjectionLeases(Settings.Self.Id + "." +
                         std::to_string(Settings.Self.Incarnation),
                     Events) {
  Members.addCandidates(Settings.Seeds);
}

milliseconds control_state::readInterval(milliseconds PerMember,
                                         milliseconds Min) {
  auto Mean = std::max(Min, PerMember * static_cast<int>(Members.size()));
  // Random jitter, so that the daemons' reads do not coincide.
  std::uniform_real_distribution<double> Jitter(0.75, 1.25);
  return std::chrono::duration_cast<milliseconds>(Mean * Jitter(Random));
}

bool control_state::ready() const {
  bool KnowsHosts = Hosts.Revision != 0;
  bool KnowsRecords = LogCaughtUp || !SyncedPeers.empty();
  // Without the existing peers in its view, the daemon would assign backend
  // servers to the wrong owners.
  std::size_t Peers = std::min(MinSyncedPeers, listedPeers());
  bool Joined = SyncedPeers.size() >= Peers || JoinTimedOut;
  return KnowsHosts && KnowsRecords && Joined &&
         !ConfigurationState.inForce().empty();
}

std::size_t control_state::listedPeers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Hosts.EntryHosts, [&](const entry_host &Host) {
        return Host.Id != Settings.Self.Id;
      }));
}

// Timer handling.

void control_state::tick(steady_time Now, control_actions &Out) {
  if (!FirstTick)
    FirstTick = Now;
  JoinTimedOut = Now - *FirstTick >= JoinTimeout;
  std::vector<outgoing_gossip> Gossip;
  Members.tick(Now, Gossip);
  send(Gossip, Out);
  recordMemberChanges(Now);
  readSources(Now, Out);
  syncFromPeers(Now, Out);
  if (Now >= NextRefresh) {
    NextRefresh = Now + RefreshCheckInterval;
    EjectionLeases.renew(ejectionContexts(), Now, Out);
    refreshRecords(Now, Out);
    updateSelfSuspicion(Now);
    VersionStale |= FleetGossip.expire(Now);
    for (const std::string &Service : Floods.expire(Now))
      Events.record(event_kind::FloodEnded, Service, "", "");
  }
  publishIfChanged(Now, Out);
}

steady_time control_state::nextWake() const {
  return std::min(
      {Members.nextWake(), NextLogRead, NextHostsRead, NextRefresh});
}

void control_state::readSources(steady_time Now, control_actions &Out) {
  if (!LogReadPending && Now >= NextLogRead) {
    LogReadPending = true;
    Out.emplace_back(read_log{NextOffset});
  }
  if (LogReadPending && Now >= NextLogRead)
    NextLogRead =
        Now + readInterval(LogReadIntervalPerMember, MinLogReadInterval);
  if (!HostsReadPending && Now >= NextHostsRead) {
    HostsReadPending = true;
    Out.emplace_back(read_hosts{});
  }
  if (HostsReadPending && Now >= NextHostsRead)
    NextHostsRead =
        Now + readInterval(HostsReadIntervalPerMember, MinHostsReadInterval);
}

/// Until this daemon has synchronized with enough peers, it requests all data
/// from several of them.
void control_state::syncFromPeers(steady_time Now, control_actions &Out) {
  if (SyncedPeers.size() >= MinSyncedPeers || Now < NextFullPull)
    return;
  for (const endpoint_text &Peer : Members.randomPeers(MinSyncedPeers))
    if (!SyncedPeers.contains(Peer))
      pull(Peer, fullPull(), Now, Out);
  NextFullPull = Now + FullPullInterval;
}

// Membership and gossip.

void control_state::recordMemberChanges(steady_time) {
  for (const member_change &Change : Members.takeChanges()) {
    VersionStale = true;
    event_kind Kind = event_kind::MemberJoined;
    if (Change.State == member_state::Suspect)
      Kind = event_kind::MemberSuspected;
    if (Change.State == member_state::Dead ||
        Change.State == member_state::Left)
      Kind = event_kind::MemberLost;
    Events.record(Kind, "", Change.Id,
                  Change.State == member_state::Left ? "left" : "");
  }
}

peer_message control_state::message(const gossip_message &Gossip) {
  peer_message Message;
  Message.Gossip = Gossip;
  Message.Digest = {ConfigurationState.digest(), Hosts.Revision};
  FleetGossip.addTo(Message);
  Message.Time = Events.now();
  return Message;
}

void control_state::send(std::span<const outgoing_gossip> Gossip,
                         control_actions &Out) {
  for (const outgoing_gossip &Outgoing : Gossip)
    Out.emplace_back(send_datagram{Outgoing.To, message(Outgoing.Message)});
}

/// Sends gossip to a few peers immediately. They pull the changes and announce
/// them in turn, so that changes reach a fleet of n members in about log4(n)
/// steps.
void control_state::announce(steady_time, control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  Members.pingRandomPeers(AnnounceFanOut, Gossip);
  send(Gossip, Out);
}

void control_state::onDatagram(const peer_message &Message, steady_time Now,
                               control_actions &Out) {
  Events.observe(Message.Time);
  std::vector<outgoing_gossip> Gossip;
  Members.receive(Message.Gossip, Now, Gossip);
  send(Gossip, Out);
  recordMemberChanges(Now);
  for (const server_death &Death : Message.Deaths)
    onNotice(Death, Now, Out);
  for (const server_leaving &Leaving : Message.Leaving)
    onNotice(Leaving, Now, Out);
  for (const key_successor &Heir : Message.Heirs)
    onKeyHeir(Heir, Now, Out);
  for (const path_fault &Fault : Message.PathFaults)
    onPathFault(Fault, "", Now, Out);
  pullIfBehind(Message, Now, Out);
  publishIfChanged(Now, Out);
}

// Pulls.

pull_request control_state::fullPull() const {
  pull_request Request;
  for (const auto &[Name, Accepted] : ConfigurationState.inForce())
    Request.Have.push_back({Name, Accepted.Record.Version});
  Request.HostListRevision = Hosts.Revision;
  Request.WantMembers = true;
  return Request;
}

void control_state::pull(const endpoint_text &Peer, pull_request Request,
                         steady_time, control_actions &Out) {
  if (PendingPulls.size() >= MaxPendingPulls ||
      !PendingPulls.insert(Peer).second)
    return;
  Out.emplace_back(pull_from{Peer, std::move(Request)});
}

void control_state::pullIfBehind(const peer_message &Message, steady_time Now,
                                 control_actions &Out) {
  const endpoint_text &Peer = Message.Gossip.SenderAddress;
  pull_request Changed;
  Changed.OnlyListed = true;
  Changed.HostListRevision = Hosts.Revision;
  for (const service_version &Change : Message.Changes) {
    auto Known = ConfigurationState.inForce().find(Change.Service);
    std::uint64_t Have = Known == ConfigurationState.inForce().end()
                             ? 0
                             : Known->second.Record.Version;
    std::uint64_t &Asked = RequestedVersions[Change.Service];
    if (Change.Version <= std::max(Have, Asked) ||
        PendingPulls.contains(Peer) || PendingPulls.size() >= MaxPendingPulls)
      continue;
    Asked = Change.Version;
    Changed.Have.push_back(Change);
  }
  bool NewerHosts = Message.Digest.HostListRevision > Hosts.Revision;
  if (!Changed.Have.empty() || NewerHosts) {
    pull(Peer, std::move(Changed), Now, Out);
    return;
  }
  if (Message.Digest.Configuration != ConfigurationState.digest() &&
      Now >= NextFullPull) {
    NextFullPull = Now + FullPullInterval;
    pull(Peer, fullPull(), Now, Out);
  }
}

pull_reply control_state::answerPull(const pull_request &Request) const {
  pull_reply Reply;
  std::map<std::string_view, std::uint64_t> Have;
  for (const service_version &Known : Request.Have)
    Have.emplace(Known.Service, Known.Version);
  for (const auto &[Name, Accepted] : ConfigurationState.inForce()) {
    auto Known = Have.find(Name);
    bool Asked =
        Request.OnlyListed
            ? Known != Have.end()
            : Known == Have.end() || Known->second <= Accepted.Record.Version;
    if (Asked)
      Reply.Records.push_back(Accepted.Record);
  }
  if (Hosts.Revision > Request.HostListRevision) {
    Reply.HostsChange = HostsHistory.since(Request.HostListRevision, Hosts);
    if (!Reply.HostsChange)
      Reply.Hosts = Hosts;
  }
  if (Request.WantMembers) {
    Reply.Members = Members.updates();
    FleetGossip.addTo(Reply);
  }
  return Reply;
}

void control_state::onPullReply(const endpoint_text &Peer,
                                const pull_reply &Reply, steady_time Now,
                                control_actions &Out) {
  PendingPulls.erase(Peer);
  SyncedPeers.insert(Peer);
  for (const acceptance &Record : Reply.Records)
    applyRecord(Record, Record.FirstOffset, Now, Out);
  Members.applyUpdates(Reply.Members, Now);
  recordMemberChanges(Now);
  for (const server_death &Death : Reply.Deaths)
    if (FleetGossip.Deaths.add(Death, Now))
      recordDeath(Death, Out);
  for (const key_successor &Heir : Reply.Heirs)
    VersionStale |= FleetGossip.Heirs.add(Heir, Now);
  for (const path_fault &Fault : Reply.PathFaults)
    VersionStale |= FleetGossip.PathFaults.add(Fault, Now);
  if (Reply.Hosts.Revision > Hosts.Revision)
    onHosts(Reply.Hosts, Now, Out);
  else if (Reply.HostsChange && Reply.HostsChange->From == Hosts.Revision)
    onHosts(applyChange(Hosts, *Reply.HostsChange), Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onPullFailure(const endpoint_text &Peer, steady_time) {
  PendingPulls.erase(Peer);
  // Versions requested from this peer may be requested from another one.
  RequestedVersions.clear();
}

// Configuration.

void control_state::applyRecord(const configuration_record &Record,
                                std::uint64_t Offset, steady_time Now,
                                control_actions &Out) {
  handleFailure(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Changed, ConfigurationState.apply(Record));
        if (Changed)
          onServiceChanged(std::get<acceptance>(Record).Definition.Name, Now,
                           Out);
        return {};
      },
      [&](const failure &Failure) {
        Events.record(event_kind::RecordSkipped, "",
                      "offset " + std::to_string(Offset),
                      std::string(errorAnswer(Failure.Kind).Name) + ": " +
                          Failure.Detail);
      });
}

void control_state::onServiceChanged(std::string_view Service, steady_time Now,
                                     control_actions &Out) {
  std::uint64_t Version =
      ConfigurationState.inForce().find(Service)->second.Record.Version;
  VersionStale = true;
  Events.record(event_kind::VersionInForce, std::string(Service),
                "version " + std::to_string(Version), "");
  FleetGossip.queueVersion({std::string(Service), Version});
  RequestedVersions.erase(std::string(Service));
  if (FleetGossip.queuedVersions() <= MaxAnnouncedChanges)
    announce(Now, Out);
}

void control_state::onLogPage(const log_page &Page, steady_time Now,
                              control_actions &Out) {
  LogReadPending = false;
  if (LogFailures >= LogFailureThreshold)
    Events.record(event_kind::StoreBack, "", "log", "");
  LogFailures = 0;
  NextOffset = Page.Next;
  Refresh.updateClock(Page, Now);
  for (const std::string &Reason : Page.Skipped)
    Events.record(event_kind::RecordSkipped, "", "log", Reason);
  for (const log_entry &Entry : Page.Entries) {
    if (const auto *Claim = std::get_if<ejection_claim>(&Entry.Record)) {
      ejection_claim Placed = *Claim;
      Placed.Offset = Entry.Offset;
      Placed.LogMilliseconds = Entry.LogMilliseconds;
      auto Known = ConfigurationState.inForce().find(Placed.Service);
      EjectionLeases.read(Placed, Known == ConfigurationState.inForce().end()
                                      ? nullptr
                                      : &Known->second.Record.Definition);
      continue;
    }
    configuration_record Record;
    if (const auto *Proposal = std::get_if<proposal>(&Entry.Record))
      Record = *Proposal;
    if (const auto *Rejection = std::get_if<rejection>(&Entry.Record))
      Record = *Rejection;
    if (const auto *Accepted = std::get_if<acceptance>(&Entry.Record)) {
      acceptance Placed = *Accepted;
      if (!Placed.Refresh)
        Placed.FirstOffset = Entry.Offset;
      Refresh.recordCopy(Placed.Definition.Name, Entry.LogMilliseconds);
      Record = std::move(Placed);
    }
    applyRecord(Record, Entry.Offset, Now, Out);
  }
  EjectionLeases.advance(Page.NowMilliseconds);
  if (Page.Next >= Page.End)
    LogCaughtUp = true;
  else
    NextLogRead = Now;
  if (LogCaughtUp)
    EjectionLeases.review(ejectionContexts(), Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onLogFailure(steady_time Now, control_actions &) {
  LogReadPending = false;
  if (++LogFailures == LogFailureThreshold)
    Events.record(event_kind::StoreLost, "", "log", "");
  NextLogRead = std::max(NextLogRead, Now + RetryDelay);
}

void control_state::onAppended(bool Succeeded, steady_time Now) {
  // After a failure the record may still be on the log; only a read can tell.
  if (Succeeded)
    NextLogRead = Now;
}

std::size_t control_state::refreshOrder(std::string_view Service) const {
  std::uint64_t Own = stableHash(Service, Settings.Self.Id);
  auto Present = Members.members();
  return static_cast<std::size_t>(
      std::ranges::count_if(Present, [&](const proxy_member &Member) {
        return stableHash(Service, Member.Id) > Own;
      }));
}

void control_state::refreshRecords(steady_time Now, control_actions &Out) {
  if (!LogCaughtUp || storeAway())
    return;
  auto Order = [this](std::string_view Service) {
    return refreshOrder(Service);
  };
  for (acceptance &Record : Refresh.due(ConfigurationState, Order, Now))
    Out.emplace_back(append_log{std::move(Record)});
}

// Host list.

void control_state::onHosts(const host_list &NewHosts, steady_time Now,
                            control_actions &Out) {
  HostsReadPending = false;
  std::vector<endpoint_text> Addresses;
  std::ranges::transform(NewHosts.EntryHosts, std::back_inserter(Addresses),
                         &entry_host::Address);
  Members.addCandidates(Addresses);
  if (NewHosts.Revision <= Hosts.Revision)
    return;
  for (const backend_server &Server : NewHosts.Servers)
    if (Server.State == server_state::Leaving &&
        std::ranges::find(Hosts.Servers, Server) == Hosts.Servers.end())
      Events.record(event_kind::ServerLeaving, Server.Pool, Server.Address,
                    "host list");
  HostsHistory.record(Hosts, NewHosts);
  Hosts = NewHosts;
  VersionStale = true;
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onHostsFailure(steady_time Now) {
  HostsReadPending = false;
  NextHostsRead = std::max(NextHostsRead, Now + RetryDelay);
}

// Notices from traffic threads and peers.

void control_state::onNotice(const control_notice &Notice, steady_time Now,
                             control_actions &Out) {
  if (const auto *Request = std::get_if<ejection_request>(&Notice))
    requestEjection(*Request, Now, Out);
  if (const auto *Report = std::get_if<service_status_report>(&Notice))
    onReport(*Report, Now);
  if (const auto *Leaving = std::get_if<server_leaving>(&Notice))
    onServerLeaving(*Leaving, Now, Out);
  if (const auto *Death = std::get_if<server_death>(&Notice))
    onServerDeath(*Death, Now, Out);
  if (const auto *Fault = std::get_if<path_fault_notice>(&Notice))
    onPathFault({Settings.Self.Id, Fault->Server}, Fault->Service, Now, Out);
}

void control_state::onReport(const service_status_report &Report,
                             steady_time Now) {
  Reports.record(Report, Now);
  std::size_t Slots = slotsOf(Report);
  if (Report.Waiting > Slots && Floods.insert(Report.Service, Now))
    Events.record(event_kind::FloodStarted, Report.Service, "",
                  std::to_string(Report.Waiting) + " requests wait for " +
                      std::to_string(Slots) + " slots");
}

/// Moves the backend server to an owner that can reach it.
void control_state::onPathFault(const path_fault &Fault,
                                std::string_view Service, steady_time Now,
                                control_actions &Out) {
  if (!FleetGossip.PathFaults.addAndForward(Fault, Now))
    return;
  VersionStale = true;
  Events.record(event_kind::PathFault, std::string(Service), Fault.Server,
                Fault.ProxyId +
                    " can't reach the backend server; other proxies can");
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onServerLeaving(const server_leaving &Leaving,
                                    steady_time Now, control_actions &Out) {
  if (!FleetGossip.Leaving.addAndForward(Leaving, Now))
    return;
  VersionStale = true;
  Events.record(event_kind::ServerLeaving, Leaving.Service, Leaving.Server,
                "announced by the backend server");
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onServerDeath(const server_death &Death, steady_time Now,
                                  control_actions &Out) {
  if (!FleetGossip.Deaths.addAndForward(Death, Now))
    return;
  recordDeath(Death, Out);
  announce(Now, Out);
}

void control_state::recordDeath(const server_death &Death,
                                control_actions &Out) {
  Events.record(event_kind::RequestQuarantined, Death.Service, Death.Server,
                "was running request fingerprint " +
                    std::to_string(Death.Fingerprint));
  Out.emplace_back(notify_traffic{Death});
}

// Hand-over of keys.

void control_state::onKeyHeir(const key_successor &Heir, steady_time Now,
                              control_actions &Out) {
  if (!FleetGossip.Heirs.addAndForward(Heir, Now))
    return;
  VersionStale = true;
  announce(Now, Out);
}

result<void> control_state::onKeyHandOver(const key_hand_over &Part,
                                          steady_time Now,
                                          control_actions &Out) {
  if (Draining || !ready())
    return fail(
        error_kind::Draining,
        "this proxy is not ready or is draining and can't take over keys");
  BOOST_LEAF_AUTO(Complete, KeyReceiver.take(Part, self(), Now));
  if (!Complete)
    return {};
  std::map<std::string, inherited_keys, std::less<>> ByService;
  for (remembered_key &Key : Complete->Keys) {
    inherited_keys &Inherited = ByService[std::string(Key.service())];
    Inherited.Service = Key.service();
    Inherited.Keys.push_back(std::move(Key));
  }
  // The traffic threads must have the keys before the version that makes this
  // proxy the heir is published.
  for (inherited_keys &Inherited : ByService | std::views::values)
    Out.emplace_back(notify_traffic{std::move(Inherited)});
  Events.record(event_kind::KeysInherited, "", Complete->Sender.ProxyId,
                std::to_string(Complete->Keys.size()) + " keys");
  for (const key_successor &Right : Complete->Rights)
    onKeyHeir(Right, Now, Out);
  publishIfChanged(Now, Out);
  return {};
}

void control_state::handOver(std::vector<remembered_key> Keys,
                             control_actions &Out) {
  KeySender.start(self(), FleetGossip.keyRightsHeldBy(self()), std::move(Keys));
  sendKeysToNextHeir(Out);
}

void control_state::sendKeysToNextHeir(control_actions &Out) {
  std::vector<proxy_member> Peers = Members.members();
  std::erase_if(Peers, [&](const proxy_member &Peer) {
    return !Peer.Offered || Peer.Id == Settings.Self.Id;
  });
  HandOverEnded = Peers.empty();
  if (HandOverEnded)
    return;
  std::uniform_int_distribution<std::size_t> Any(0, Peers.size() - 1);
  KeySender.setHeir(Peers[Any(Random)]);
  Out.emplace_back(deliver_keys{KeySender.address(), KeySender.part()});
}

void control_state::onKeysDelivered(key_delivery Delivery,
                                    control_actions &Out) {
  switch (KeySender.onDelivery(Delivery)) {
  case key_sender::next_step::SendPart:
    Out.emplace_back(deliver_keys{KeySender.address(), KeySender.part()});
    return;
  case key_sender::next_step::ChooseHeir:
    sendKeysToNextHeir(Out);
    return;
  case key_sender::next_step::End:
    HandOverEnded = true;
  }
}

// Ejections.

std::size_t
control_state::unavailableServers(const service_definition &Definition) const {
  auto Leaving = FleetGossip.leavingServers();
  std::size_t Live = 0;
  for (const backend_server &Server : Hosts.Servers)
    if (Server.Pool == Definition.Pool && Server.State == server_state::Live &&
        !Leaving.contains(Server.Address))
      ++Live;
  std::size_t Warming = Reports.warming(Definition.Name);
  std::size_t Healthy = Live > Warming ? Live - Warming : 0;
  return Definition.PoolSize > Healthy ? Definition.PoolSize - Healthy : 0;
}

void control_state::requestEjection(const ejection_request &Request,
                                    steady_time Now, control_actions &Out) {
  // Without the log no lease can be granted, and load balancing has to avoid
  // the backend server. A proxy that suspects itself does not eject backend
  // servers.
  bool MayClaim = LogCaughtUp && !storeAway() && !SuspectsSelf;
  if (MayClaim || !Request.Eject)
    EjectionLeases.onRequest(Request, ejectionContexts(), Now, Out);
}

ejection_context
control_state::ejectionContextOf(std::string_view Service,
                                 std::string_view Server) const {
  ejection_context Context;
  auto Known = ConfigurationState.inForce().find(Service);
  if (Known == ConfigurationState.inForce().end() || !Published)
    return Context;
  Context.Definition = &Known->second.Record.Definition;
  Context.Unavailable = unavailableServers(*Context.Definition);
  auto Owned = Published->ownServers(Service);
  Context.Owned =
      std::ranges::find(Owned, Server, &backend_server::Address) != Owned.end();
  return Context;
}

/// If most backend servers fail for this proxy, the proxy itself may be faulty.
/// It then asks not to be handed out to callers, and other proxies try its
/// backend servers.
void control_state::updateSelfSuspicion(steady_time Now) {
  Reports.expire(Now);
  auto [Failing, All] = Reports.failing();
  // Backend servers that moved to other owners because of a path fault are no
  // longer in the reports.
  std::vector<path_fault> PathFaults = FleetGossip.PathFaults.known();
  auto Unreachable = static_cast<std::size_t>(
      std::ranges::count(PathFaults, Settings.Self.Id, &path_fault::ProxyId));
  Failing += Unreachable;
  All += Unreachable;
  std::size_t Withheld = 0;
  auto Present = Members.members();
  for (const proxy_member &Member : Present)
    Withheld += Member.Offered ? 0 : 1;
  bool OthersRemain = Present.size() > 1 && Withheld * 10 < Present.size();
  if (!SuspectsSelf && All >= MinServersForSelfSuspicion && Failing * 2 > All &&
      OthersRemain) {
    SuspectsSelf = true;
    OfferAgainAt = Now + SelfSuspicionDuration;
    Members.setOffered(false);
    VersionStale = true;
    Events.record(event_kind::SelfSuspected, "", Settings.Self.Id,
                  std::to_string(Failing) + " of " + std::to_string(All) +
                      " backend servers fail for this proxy");
  } else if (SuspectsSelf && Now >= OfferAgainAt) {
    SuspectsSelf = false;
    Members.setOffered(!Draining);
    VersionStale = true;
  }
}

// Versions.

void control_state::publishIfChanged(steady_time Now, control_actions &Out) {
  if (!std::exchange(VersionStale, false))
    return;
  auto Version = std::make_shared<fleet_version>();
  Version->Number = ++VersionNumber;
  Version->Ready = ready();
  Version->Draining = Draining;
  Version->SelfId = Settings.Self.Id;
  Version->SelfIncarnation = Settings.Self.Incarnation;
  Version->Configuration = ConfigurationState.configurationInForce();
  Version->KeySuccessors = key_successors::build(FleetGossip.Heirs.known());
  Version->View.Proxies = Members.members();
  Version->View.Servers = Hosts.Servers;
  Version->View.PathFaults = FleetGossip.PathFaults.known();
  auto Leaving = FleetGossip.leavingServers();
  for (backend_server &Server : Version->View.Servers)
    if (Leaving.contains(Server.Address))
      Server.State = server_state::Leaving;
  owner_chooser Chooser(Version->View);
  for (const accepted_service_ref &Service : Version->Configuration.services())
    Version->Owners.emplace(Service->Definition.Name,
                            Chooser.choose(Service->Definition));
  recordOwnershipChanges(*Version);
  // Readiness can change without any other change.
  VersionStale = !Version->Ready;
  Published = Version;
  // Granted leases may exceed the budget after the floor was raised.
  EjectionLeases.review(ejectionContexts(), Now, Out);
  Out.emplace_back(publish_version{std::move(Version)});
}

void control_state::recordOwnershipChanges(const fleet_version &Next) {
  // A proxy that is not ready does not assign any backend servers, whatever its
  // view.
  if (!Next.Ready)
    return;
  for (const auto &[Service, Owners] : Next.Owners) {
    std::size_t Before = Published && Published->Ready
                             ? Published->ownServers(Service).size()
                             : 0;
    std::size_t Now = Next.ownServers(Service).size();
    if (Now != Before)
      Events.record(event_kind::OwnershipChanged, Service, Settings.Self.Id,
                    "owns " + std::to_string(Now) + " backend servers, " +
                        std::to_string(Before) + " before");
  }
}

// Shutdown.

void control_state::drain(steady_time Now, control_actions &Out) {
  Draining = true;
  VersionStale = true;
  Events.record(event_kind::DrainStarted, "", Settings.Self.Id, "");
  Members.setOffered(false);
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::leave(steady_time, control_actions &Out) {
  Events.record(event_kind::Stopped, "", Settings.Self.Id, "");
  EjectionLeases.releaseAll(Out);
  std::vector<outgoing_gossip> Gossip;
  Members.leave(Gossip);
  send(Gossip, Out);
}

} // namespace endiverail
