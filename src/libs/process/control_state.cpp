#include "process/control_state.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>

namespace endiverail {
namespace {

/// The fleet reads each source about this often in all, whatever its size.
constexpr milliseconds LogReadSpacingPerMember{25};
constexpr milliseconds HostsReadSpacingPerMember{100};
constexpr milliseconds LeastLogReadSpacing{150};
constexpr milliseconds LeastHostsReadSpacing{500};
constexpr milliseconds RetrySpacing{1'000};

constexpr std::size_t AnnounceTo = 4;
/// With more changes than this under way, gossip alone carries them.
constexpr std::size_t ChangesToAnnounce = 8;
constexpr std::size_t MostPulls = 4;
constexpr milliseconds FullPullSpacing{1'000};
constexpr std::size_t PeersToSync = 2;
/// After this a daemon serves alone when no listed peer answers.
constexpr milliseconds JoinPatience{5'000};

constexpr milliseconds RefreshCheck{1'000};
constexpr std::size_t LeastServersToSuspectSelf = 4;
constexpr milliseconds SelfSuspicionLasts{20'000};

std::size_t slotsOf(const standing_report &Report) {
  return std::transform_reduce(Report.Servers.begin(), Report.Servers.end(),
                               std::size_t{0}, std::plus{},
                               [](const server_status &Server) {
                                 return static_cast<std::size_t>(Server.Limit);
                               });
}

result<configuration_state> foldOf(const control_settings &Settings) {
  return configuration_state::create(Settings.CustomerKeys);
}

} // namespace

result<control_state> control_state::create(const control_settings &Settings,
                                            time_line &Events) {
  BOOST_LEAF_AUTO(ConfigurationState, foldOf(Settings));
  return control_state(Settings, std::move(ConfigurationState), Events);
}

control_state::control_state(const control_settings &Settings,
                             configuration_state ConfigurationState,
                             time_line &Events)
    : Settings(Settings), ConfigurationState(std::move(ConfigurationState)),
      Members(Settings.Self, Settings.Swim, Settings.Seed), Events(Events),
      Random(Settings.Seed), News(Settings.KeyMemory),
      Ejections(Settings.Self.Id + "." +
                    std::to_string(Settings.Self.Incarnation),
                Events) {
  Members.suggest(Settings.Seeds);
}

milliseconds control_state::spacing(milliseconds PerMember,
                                    milliseconds Least) {
  auto Mean = std::max(Least, PerMember * static_cast<int>(Members.size()));
  // Spread, so that the daemons' reads do not fall together.
  std::uniform_real_distribution<double> Spread(0.75, 1.25);
  return std::chrono::duration_cast<milliseconds>(Mean * Spread(Random));
}

bool control_state::ready() const {
  bool KnowsHosts = Hosts.Revision != 0;
  bool KnowsRecords = LogCaughtUp || !SyncedPeers.empty();
  // A view without the peers that are there would give work to wrong owners.
  std::size_t Peers = std::min(PeersToSync, listedPeers());
  bool Joined = SyncedPeers.size() >= Peers || JoinPatienceOver;
  return KnowsHosts && KnowsRecords && Joined &&
         !ConfigurationState.inForce().empty();
}

std::size_t control_state::listedPeers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Hosts.EntryHosts, [&](const entry_host &Host) {
        return Host.Id != Settings.Self.Id;
      }));
}

// Time.

void control_state::tick(steady_time Now, control_actions &Out) {
  if (!FirstTick)
    FirstTick = Now;
  JoinPatienceOver = Now - *FirstTick >= JoinPatience;
  std::vector<outgoing_gossip> Gossip;
  Members.tick(Now, Gossip);
  send(Gossip, Out);
  takeMemberChanges(Now);
  readSources(Now, Out);
  joinByPeers(Now, Out);
  if (Now >= NextRefresh) {
    NextRefresh = Now + RefreshCheck;
    Ejections.renew(terms(), Now, Out);
    refreshRecords(Now, Out);
    considerSelf(Now);
    VersionStale |= News.expire(Now);
    for (const std::string &Service : Floods.expire(Now))
      Events.note(event_kind::FloodEnded, Service, "", "");
  }
  publishIfChanged(Now, Out);
}

steady_time control_state::nextWake() const {
  return std::min(
      {Members.nextWake(), NextLogRead, NextHostsRead, NextRefresh});
}

void control_state::readSources(steady_time Now, control_actions &Out) {
  if (!LogReadOut && Now >= NextLogRead) {
    LogReadOut = true;
    Out.emplace_back(read_log{NextOffset});
  }
  if (LogReadOut && Now >= NextLogRead)
    NextLogRead = Now + spacing(LogReadSpacingPerMember, LeastLogReadSpacing);
  if (!HostsReadOut && Now >= NextHostsRead) {
    HostsReadOut = true;
    Out.emplace_back(read_hosts{});
  }
  if (HostsReadOut && Now >= NextHostsRead)
    NextHostsRead =
        Now + spacing(HostsReadSpacingPerMember, LeastHostsReadSpacing);
}

/// Until it is ready a daemon asks several peers for all they know.
void control_state::joinByPeers(steady_time Now, control_actions &Out) {
  if (SyncedPeers.size() >= PeersToSync || Now < NextFullPull)
    return;
  for (const endpoint_text &Peer : Members.randomPeers(PeersToSync))
    if (!SyncedPeers.contains(Peer))
      pull(Peer, fullPull(), Now, Out);
  NextFullPull = Now + FullPullSpacing;
}

// Membership and news.

void control_state::takeMemberChanges(steady_time) {
  for (const member_change &Change : Members.takeChanges()) {
    VersionStale = true;
    event_kind Kind = event_kind::MemberJoined;
    if (Change.State == member_state::Suspect)
      Kind = event_kind::MemberSuspected;
    if (Change.State == member_state::Dead ||
        Change.State == member_state::Left)
      Kind = event_kind::MemberLost;
    Events.note(Kind, "", Change.Id,
                Change.State == member_state::Left ? "left" : "");
  }
}

peer_message control_state::message(const gossip_message &Gossip) {
  peer_message Message;
  Message.Gossip = Gossip;
  Message.Digest = {ConfigurationState.digest(), Hosts.Revision};
  News.addTo(Message);
  Message.Time = Events.now();
  return Message;
}

void control_state::send(std::span<const outgoing_gossip> Gossip,
                         control_actions &Out) {
  for (const outgoing_gossip &Outgoing : Gossip)
    Out.emplace_back(send_datagram{Outgoing.To, message(Outgoing.Message)});
}

/// Tells a few peers at once; they pull and announce in their turn, so news
/// reach a fleet of n in about log4 n steps.
void control_state::announce(steady_time, control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  Members.greet(AnnounceTo, Gossip);
  send(Gossip, Out);
}

void control_state::onDatagram(const peer_message &Message, steady_time Now,
                               control_actions &Out) {
  Events.witness(Message.Time);
  std::vector<outgoing_gossip> Gossip;
  Members.receive(Message.Gossip, Now, Gossip);
  send(Gossip, Out);
  takeMemberChanges(Now);
  for (const server_death &Death : Message.Deaths)
    onNotice(Death, Now, Out);
  for (const server_leaving &Leaving : Message.Leaving)
    onNotice(Leaving, Now, Out);
  for (const key_successor &Heir : Message.Heirs)
    onKeyHeir(Heir, Now, Out);
  for (const path_fault &Fault : Message.PathFaults)
    onPathFault(Fault, "", Now, Out);
  considerPull(Message, Now, Out);
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
  if (PullsOut.size() >= MostPulls || !PullsOut.insert(Peer).second)
    return;
  Out.emplace_back(pull_from{Peer, std::move(Request)});
}

void control_state::considerPull(const peer_message &Message, steady_time Now,
                                 control_actions &Out) {
  const endpoint_text &Peer = Message.Gossip.SenderAddress;
  pull_request Changed;
  Changed.Only = true;
  Changed.HostListRevision = Hosts.Revision;
  for (const service_version &Change : Message.Changes) {
    auto Known = ConfigurationState.inForce().find(Change.Service);
    std::uint64_t Have = Known == ConfigurationState.inForce().end()
                             ? 0
                             : Known->second.Record.Version;
    std::uint64_t &Asked = Wanted[Change.Service];
    if (Change.Version <= std::max(Have, Asked) || PullsOut.contains(Peer) ||
        PullsOut.size() >= MostPulls)
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
    NextFullPull = Now + FullPullSpacing;
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
    bool Asked = Request.Only ? Known != Have.end()
                              : Known == Have.end() ||
                                    Known->second <= Accepted.Record.Version;
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
    News.addTo(Reply);
  }
  return Reply;
}

void control_state::onPullReply(const endpoint_text &Peer,
                                const pull_reply &Reply, steady_time Now,
                                control_actions &Out) {
  PullsOut.erase(Peer);
  SyncedPeers.insert(Peer);
  for (const acceptance &Record : Reply.Records)
    applyRecord(Record, Record.FirstOffset, Now, Out);
  Members.learn(Reply.Members, Now);
  takeMemberChanges(Now);
  for (const server_death &Death : Reply.Deaths)
    if (News.Deaths.learn(Death, Now))
      noteDeath(Death, Out);
  for (const key_successor &Heir : Reply.Heirs)
    VersionStale |= News.Heirs.learn(Heir, Now);
  for (const path_fault &Fault : Reply.PathFaults)
    VersionStale |= News.PathFaults.learn(Fault, Now);
  if (Reply.Hosts.Revision > Hosts.Revision)
    onHosts(Reply.Hosts, Now, Out);
  else if (Reply.HostsChange && Reply.HostsChange->From == Hosts.Revision)
    onHosts(applyChange(Hosts, *Reply.HostsChange), Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onPullFailure(const endpoint_text &Peer, steady_time) {
  PullsOut.erase(Peer);
  // Whoever was asked in vain may be asked of another.
  Wanted.clear();
}

// Configuration.

void control_state::applyRecord(const configuration_record &Record,
                                std::uint64_t Offset, steady_time Now,
                                control_actions &Out) {
  handleFailure(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Changed, ConfigurationState.apply(Record));
        if (Changed)
          onChanged(std::get<acceptance>(Record).Definition.Name, Now, Out);
        return {};
      },
      [&](const failure &Failure) {
        Events.note(event_kind::RecordSkipped, "",
                    "offset " + std::to_string(Offset),
                    std::string(errorAnswer(Failure.Kind).Name) + ": " +
                        Failure.Detail);
      });
}

void control_state::onChanged(std::string_view Service, steady_time Now,
                              control_actions &Out) {
  std::uint64_t Version =
      ConfigurationState.inForce().find(Service)->second.Record.Version;
  VersionStale = true;
  Events.note(event_kind::VersionInForce, std::string(Service),
              "version " + std::to_string(Version), "");
  News.tellVersion({std::string(Service), Version});
  Wanted.erase(std::string(Service));
  if (News.versionsTold() <= ChangesToAnnounce)
    announce(Now, Out);
}

void control_state::onLogPage(const log_page &Page, steady_time Now,
                              control_actions &Out) {
  LogReadOut = false;
  if (LogFailures >= FailuresToReport)
    Events.note(event_kind::StoreBack, "", "log", "");
  LogFailures = 0;
  NextOffset = Page.Next;
  Refresh.noteClock(Page, Now);
  for (const std::string &Reason : Page.Skipped)
    Events.note(event_kind::RecordSkipped, "", "log", Reason);
  for (const log_entry &Entry : Page.Entries) {
    if (const auto *Claim = std::get_if<ejection_claim>(&Entry.Record)) {
      ejection_claim Placed = *Claim;
      Placed.Offset = Entry.Offset;
      Placed.LogMilliseconds = Entry.LogMilliseconds;
      auto Known = ConfigurationState.inForce().find(Placed.Service);
      Ejections.read(Placed, Known == ConfigurationState.inForce().end()
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
      Refresh.noteCopy(Placed.Definition.Name, Entry.LogMilliseconds);
      Record = std::move(Placed);
    }
    applyRecord(Record, Entry.Offset, Now, Out);
  }
  Ejections.advance(Page.NowMilliseconds);
  if (Page.Next >= Page.End)
    LogCaughtUp = true;
  else
    NextLogRead = Now;
  if (LogCaughtUp)
    Ejections.review(terms(), Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onLogFailure(steady_time Now, control_actions &) {
  LogReadOut = false;
  if (++LogFailures == FailuresToReport)
    Events.note(event_kind::StoreLost, "", "log", "");
  NextLogRead = std::max(NextLogRead, Now + RetrySpacing);
}

void control_state::onAppended(bool Succeeded, steady_time Now) {
  // A lost answer may hide a record: only reading tells.
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

// Hosts.

void control_state::onHosts(const host_list &NewHosts, steady_time Now,
                            control_actions &Out) {
  HostsReadOut = false;
  std::vector<endpoint_text> Addresses;
  std::ranges::transform(NewHosts.EntryHosts, std::back_inserter(Addresses),
                         &entry_host::Address);
  Members.suggest(Addresses);
  if (NewHosts.Revision <= Hosts.Revision)
    return;
  for (const backend_server &Server : NewHosts.Servers)
    if (Server.State == server_state::Leaving &&
        std::ranges::find(Hosts.Servers, Server) == Hosts.Servers.end())
      Events.note(event_kind::ServerLeaving, Server.Pool, Server.Address,
                  "host list");
  HostsHistory.record(Hosts, NewHosts);
  Hosts = NewHosts;
  VersionStale = true;
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onHostsFailure(steady_time Now) {
  HostsReadOut = false;
  NextHostsRead = std::max(NextHostsRead, Now + RetrySpacing);
}

// Notices from traffic threads and peers.

void control_state::onNotice(const control_notice &Notice, steady_time Now,
                             control_actions &Out) {
  if (const auto *Wish = std::get_if<ejection_wish>(&Notice))
    wish(*Wish, Now, Out);
  if (const auto *Report = std::get_if<standing_report>(&Notice))
    onReport(*Report, Now);
  if (const auto *Leaving = std::get_if<server_leaving>(&Notice))
    onServerLeaving(*Leaving, Now, Out);
  if (const auto *Death = std::get_if<server_death>(&Notice))
    onServerDeath(*Death, Now, Out);
  if (const auto *Fault = std::get_if<path_fault_found>(&Notice))
    onPathFault({Settings.Self.Id, Fault->Server}, Fault->Service, Now, Out);
}

void control_state::onReport(const standing_report &Report, steady_time Now) {
  Reports.note(Report, Now);
  std::size_t Slots = slotsOf(Report);
  if (Report.Waiting > Slots && Floods.note(Report.Service, Now))
    Events.note(event_kind::FloodStarted, Report.Service, "",
                std::to_string(Report.Waiting) + " requests wait for " +
                    std::to_string(Slots) + " slots");
}

/// The backend server passes to an owner that reaches it.
void control_state::onPathFault(const path_fault &Fault,
                                std::string_view Service, steady_time Now,
                                control_actions &Out) {
  if (!News.PathFaults.tell(Fault, Now))
    return;
  VersionStale = true;
  Events.note(event_kind::PathFault, std::string(Service), Fault.Server,
              Fault.ProxyId + " does not reach it; others do");
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onServerLeaving(const server_leaving &Leaving,
                                    steady_time Now, control_actions &Out) {
  if (!News.Leaving.tell(Leaving, Now))
    return;
  VersionStale = true;
  Events.note(event_kind::ServerLeaving, Leaving.Service, Leaving.Server,
              "said so itself");
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::onServerDeath(const server_death &Death, steady_time Now,
                                  control_actions &Out) {
  if (!News.Deaths.tell(Death, Now))
    return;
  noteDeath(Death, Out);
  announce(Now, Out);
}

void control_state::noteDeath(const server_death &Death, control_actions &Out) {
  Events.note(event_kind::RequestQuarantined, Death.Service, Death.Server,
              "was running " + std::to_string(Death.Fingerprint));
  Out.emplace_back(tell_traffic{Death});
}

// Keys of proxies that end.

void control_state::onKeyHeir(const key_successor &Heir, steady_time Now,
                              control_actions &Out) {
  if (!News.Heirs.tell(Heir, Now))
    return;
  VersionStale = true;
  announce(Now, Out);
}

result<void> control_state::onKeyHandOver(const key_hand_over &Part,
                                          steady_time Now,
                                          control_actions &Out) {
  if (Draining || !ready())
    return fail(error_kind::Draining, "this proxy can be nobody's heir");
  BOOST_LEAF_AUTO(Whole, Receiver.take(Part, self(), Now));
  if (!Whole)
    return {};
  std::map<std::string, inherited_keys, std::less<>> ByService;
  for (remembered_key &Key : Whole->Keys) {
    inherited_keys &Inherited = ByService[std::string(Key.service())];
    Inherited.Service = Key.service();
    Inherited.Keys.push_back(std::move(Key));
  }
  // The traffic threads know the keys before they learn of the right.
  for (inherited_keys &Inherited : ByService | std::views::values)
    Out.emplace_back(tell_traffic{std::move(Inherited)});
  Events.note(event_kind::KeysInherited, "", Whole->Giver.ProxyId,
              std::to_string(Whole->Keys.size()) + " keys");
  for (const key_successor &Right : Whole->Rights)
    onKeyHeir(Right, Now, Out);
  publishIfChanged(Now, Out);
  return {};
}

void control_state::handOver(std::vector<remembered_key> Keys,
                             control_actions &Out) {
  Giver.start(self(), News.rightsOf(self()), std::move(Keys));
  offerKeys(Out);
}

void control_state::offerKeys(control_actions &Out) {
  std::vector<proxy_member> Peers = Members.members();
  std::erase_if(Peers, [&](const proxy_member &Peer) {
    return !Peer.Offered || Peer.Id == Settings.Self.Id;
  });
  HandOverEnded = Peers.empty();
  if (HandOverEnded)
    return;
  std::uniform_int_distribution<std::size_t> Any(0, Peers.size() - 1);
  Giver.setHeir(Peers[Any(Random)]);
  Out.emplace_back(deliver_keys{Giver.address(), Giver.part()});
}

void control_state::onKeysDelivered(key_delivery Delivery,
                                    control_actions &Out) {
  switch (Giver.onAnswer(Delivery)) {
  case key_giver::next_step::SendPart:
    Out.emplace_back(deliver_keys{Giver.address(), Giver.part()});
    return;
  case key_giver::next_step::ChooseHeir:
    offerKeys(Out);
    return;
  case key_giver::next_step::End:
    HandOverEnded = true;
  }
}

// Ejections.

std::size_t
control_state::unavailableServers(const service_definition &Definition) const {
  auto Leaving = News.leavingServers();
  std::size_t Live = 0;
  for (const backend_server &Server : Hosts.Servers)
    if (Server.Pool == Definition.Pool && Server.State == server_state::Live &&
        !Leaving.contains(Server.Address))
      ++Live;
  std::size_t Warming = Reports.warming(Definition.Name);
  std::size_t Healthy = Live > Warming ? Live - Warming : 0;
  return Definition.PoolSize > Healthy ? Definition.PoolSize - Healthy : 0;
}

void control_state::wish(const ejection_wish &Wish, steady_time Now,
                         control_actions &Out) {
  // Without the log no right can be proven: steering has to do. A proxy that
  // suspects itself blames nobody else.
  bool MayClaim = LogCaughtUp && !storeAway() && !SuspectsSelf;
  if (MayClaim || !Wish.Eject)
    Ejections.wish(Wish, terms(), Now, Out);
}

ejection_terms control_state::termsOf(std::string_view Service,
                                      std::string_view Server) const {
  ejection_terms Terms;
  auto Known = ConfigurationState.inForce().find(Service);
  if (Known == ConfigurationState.inForce().end() || !Published)
    return Terms;
  Terms.Definition = &Known->second.Record.Definition;
  Terms.Unavailable = unavailableServers(*Terms.Definition);
  auto Owned = Published->ownServers(Service);
  Terms.Owned =
      std::ranges::find(Owned, Server, &backend_server::Address) != Owned.end();
  return Terms;
}

/// A proxy that finds most of its backend servers failing may be what fails:
/// it has itself handed out no more, and others try its servers.
void control_state::considerSelf(steady_time Now) {
  Reports.expire(Now);
  auto [Bad, All] = Reports.failing();
  // Those that were passed to others are not among the reports any more.
  std::vector<path_fault> Faults = News.PathFaults.known();
  auto Unreached = static_cast<std::size_t>(
      std::ranges::count(Faults, Settings.Self.Id, &path_fault::ProxyId));
  Bad += Unreached;
  All += Unreached;
  std::size_t Withheld = 0;
  auto Present = Members.members();
  for (const proxy_member &Member : Present)
    Withheld += Member.Offered ? 0 : 1;
  bool OthersRemain = Present.size() > 1 && Withheld * 10 < Present.size();
  if (!SuspectsSelf && All >= LeastServersToSuspectSelf && Bad * 2 > All &&
      OthersRemain) {
    SuspectsSelf = true;
    OfferAgain = Now + SelfSuspicionLasts;
    Members.setOffered(false);
    VersionStale = true;
    Events.note(event_kind::SelfSuspected, "", Settings.Self.Id,
                std::to_string(Bad) + " of " + std::to_string(All) +
                    " backend servers fail from here");
  } else if (SuspectsSelf && Now >= OfferAgain) {
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
  Version->KeySuccessors = key_successors::build(News.Heirs.known());
  Version->View.Proxies = Members.members();
  Version->View.Servers = Hosts.Servers;
  Version->View.PathFaults = News.PathFaults.known();
  auto Leaving = News.leavingServers();
  for (backend_server &Server : Version->View.Servers)
    if (Leaving.contains(Server.Address))
      Server.State = server_state::Leaving;
  owner_chooser Chooser(Version->View);
  for (const accepted_service_ref &Service : Version->Configuration.services())
    Version->Owners.emplace(Service->Definition.Name,
                            Chooser.choose(Service->Definition));
  noteOwnership(*Version);
  // Readiness may come without any other change.
  VersionStale = !Version->Ready;
  Published = Version;
  // What was granted may not fit a floor that was raised.
  Ejections.review(terms(), Now, Out);
  Out.emplace_back(publish_version{std::move(Version)});
}

void control_state::noteOwnership(const fleet_version &Next) {
  // Until it is ready a proxy hands nothing out, whatever its view.
  if (!Next.Ready)
    return;
  for (const auto &[Service, Owners] : Next.Owners) {
    std::size_t Before = Published && Published->Ready
                             ? Published->ownServers(Service).size()
                             : 0;
    std::size_t Now = Next.ownServers(Service).size();
    if (Now != Before)
      Events.note(event_kind::OwnershipChanged, Service, Settings.Self.Id,
                  "owns " + std::to_string(Now) + " backend servers, " +
                      std::to_string(Before) + " before");
  }
}

// The end.

void control_state::drain(steady_time Now, control_actions &Out) {
  Draining = true;
  VersionStale = true;
  Events.note(event_kind::DrainStarted, "", Settings.Self.Id, "");
  Members.setOffered(false);
  announce(Now, Out);
  publishIfChanged(Now, Out);
}

void control_state::leave(steady_time, control_actions &Out) {
  Events.note(event_kind::Stopped, "", Settings.Self.Id, "");
  Ejections.giveAllBack(Out);
  std::vector<outgoing_gossip> Gossip;
  Members.leave(Gossip);
  send(Gossip, Out);
}

} // namespace endiverail
