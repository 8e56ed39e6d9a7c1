#include "process/store_control_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endiverail {
namespace {

/// The listing of members is read once; after that members tell each other.
constexpr follow_terms MembersTerms{milliseconds(60'000), milliseconds(0)};

} // namespace

store_control_state::store_control_state(store_control_settings From,
                                         swim_timing Timing)
    : Settings(std::move(From)),
      Members(Settings.Self, Timing, Settings.Seed),
      ConfigurationFollower(store_topic::Configuration, Settings.Configuration,
                            Settings.Seed + 1),
      ServersFollower(store_topic::BackendServers, Settings.Servers,
                      Settings.Seed + 2),
      MembersFollower(store_topic::Members, MembersTerms, Settings.Seed + 3),
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

void store_control_state::tick(steady_time Now, store_control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  suggestLostMember(Now);
  Members.tick(Now, Gossip);
  sendGossip(Gossip, Out);
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
    Out.emplace_back(start_store_call{std::move(*Call)});
  };
  StartDue(ConfigurationFollower);
  StartDue(ServersFollower);
  // Of two that start together, the one that registers last finds the other.
  if (Registered)
    StartDue(MembersFollower);
  Directory.expire(Now);
  publishIfChanged(Now, Out);
}

steady_time store_control_state::nextWake() const {
  steady_time Next = Members.nextWake();
  auto Consider = [&](std::optional<steady_time> At) {
    if (At)
      Next = std::min(Next, *At);
  };
  Consider(ConfigurationFollower.nextWake());
  Consider(ServersFollower.nextWake());
  if (Registered)
    Consider(MembersFollower.nextWake());
  else if (!PutOut)
    Consider(PutDue);
  Consider(Directory.nextWake());
  return Next;
}

/// Members on both sides of a partition take each other for lost; somebody has
/// to ask again.
void store_control_state::suggestLostMember(steady_time Now) {
  if (Now < NextLostPing || KnownPeers.empty())
    return;
  NextLostPing = Now + LostMemberPing;
  std::uniform_int_distribution<std::size_t> Any(0, KnownPeers.size() - 1);
  auto Chosen = std::next(KnownPeers.begin(),
                          static_cast<std::ptrdiff_t>(Any(Random)));
  Members.suggest(std::span(&Chosen->second, 1));
}

void store_control_state::onConfiguration(published_configuration Newer) {
  if (Configuration && Newer.Version <= Configuration->Version)
    return;
  spdlog::info("control: configuration {} in force with {} routes",
               Newer.Version, Newer.Routes->routes().size());
  Configuration = std::move(Newer);
  Changed = true;
}

void store_control_state::onServer(std::string_view Id,
                                   const server_entry &Entry,
                                   steady_time Now) {
  Directory.apply(Id, Entry, Now);
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

void store_control_state::noteStore(bool Answers, steady_time Now) {
  if (StoreAway != Answers)
    return;
  StoreAway = !Answers;
  if (StoreAway) {
    spdlog::warn("control: lost the store; version {} and {} backend servers "
                 "stay in use",
                 version(), Directory.servers().size());
    Directory.onStoreAway(Now);
    return;
  }
  spdlog::info("control: the store answers again");
  Directory.onStoreBack(Now);
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
    noteStore(true, Now);
  }
  tick(Now, Out);
}

void store_control_state::onForgotten(store_topic Topic, steady_time Now) {
  spdlog::info("control: the store has deleted records that were not read; "
               "listing anew");
  follower(Topic).onForgotten(Now);
}

void store_control_state::onCallFailed(store_topic Topic, steady_time Now) {
  follower(Topic).onFailure(Now);
  if (Topic == store_topic::BackendServers)
    noteStore(false, Now);
}

void store_control_state::onPut(bool Succeeded, steady_time Now) {
  PutOut = false;
  Registered = Succeeded;
  PutDue = Now + PutRetry;
}

void store_control_state::onDatagram(const peer_message &Message,
                                     steady_time Now,
                                     store_control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  Members.receive(Message.Gossip, Now, Gossip);
  sendGossip(Gossip, Out);
  if (Message.Digest.Configuration > version())
    ConfigurationFollower.hurry(Now);
  for (const work_report &Report : Message.Work)
    Out.emplace_back(tell_traffic_threads{
        peer_work{Message.Gossip.SenderId, Report}});
  for (const server_death &Death : Message.Deaths)
    Out.emplace_back(tell_traffic_threads{Death});
  if (Message.Gossip.Kind != gossip_kind::News)
    publishIfChanged(Now, Out);
}

void store_control_state::onNotice(const control_notice &Notice,
                                   steady_time Now,
                                   store_control_actions &Out) {
  peer_message Message;
  if (const auto *Report = std::get_if<work_report>(&Notice))
    Message.Work.push_back(*Report);
  else if (const auto *Death = std::get_if<server_death>(&Notice)) {
    spdlog::warn("control: backend server {} died while it ran request {:x}",
                 Death->Server, Death->Fingerprint);
    Message.Deaths.push_back(*Death);
    Out.emplace_back(tell_traffic_threads{*Death});
  } else {
    return;
  }
  static_cast<void>(Now);
  sendNews(std::move(Message), Out);
}

void store_control_state::sendNews(peer_message Message,
                                   store_control_actions &Out) {
  Message.Gossip.Kind = gossip_kind::News;
  Message.Gossip.SenderId = Settings.Self.Id;
  Message.Gossip.SenderAddress = Settings.Self.Address;
  Message.Digest.Configuration = version();
  std::vector<endpoint_text> To;
  for (const proxy_member &Member : Members.members())
    if (Member.Id != Settings.Self.Id)
      To.push_back(Member.Address);
  Out.emplace_back(send_to_members{std::move(To), std::move(Message)});
}

void store_control_state::sendGossip(std::vector<outgoing_gossip> &Gossip,
                                     store_control_actions &Out) const {
  for (outgoing_gossip &Each : Gossip) {
    peer_message Message;
    Message.Gossip = std::move(Each.Message);
    Message.Digest.Configuration = version();
    Out.emplace_back(send_datagram{std::move(Each.To), std::move(Message)});
  }
}

void store_control_state::drain(steady_time Now, store_control_actions &Out) {
  Draining = true;
  Changed = true;
  Members.setOffered(false);
  std::vector<outgoing_gossip> Gossip;
  Members.greet(Members.size(), Gossip);
  sendGossip(Gossip, Out);
  publishIfChanged(Now, Out);
}

void store_control_state::leave(store_control_actions &Out) {
  std::vector<outgoing_gossip> Gossip;
  Members.leave(Gossip);
  sendGossip(Gossip, Out);
}

void store_control_state::publishIfChanged(steady_time,
                                           store_control_actions &Out) {
  bool Others = Directory.takeChanged();
  for (const member_change &Change : Members.takeChanges()) {
    spdlog::info("membership: {} is {}", Change.Id,
                 Change.State == member_state::Alive     ? "alive"
                 : Change.State == member_state::Suspect ? "suspected"
                 : Change.State == member_state::Dead    ? "lost"
                                                         : "gone");
  }
  std::vector<proxy_member> Current = Members.members();
  Others = Others || Current != PublishedMembers;
  if (!std::exchange(Changed, false) && !Others)
    return;
  PublishedMembers = std::move(Current);
  auto Version = std::make_shared<fleet_version>();
  Version->Number = ++VersionNumber;
  Version->Ready = ready();
  Version->Draining = Draining;
  Version->SelfId = Settings.Self.Id;
  Version->SelfIncarnation = Settings.Self.Incarnation;
  if (Configuration) {
    Version->Configuration = Configuration->Services;
    Version->Routes = Configuration->Routes;
  }
  Version->View.Proxies = PublishedMembers;
  Version->View.Servers = Directory.servers();
  for (const proxy_member &Member : PublishedMembers)
    if (Member.Id != Settings.Self.Id)
      KnownPeers.insert_or_assign(Member.Id, Member.Address);
  Out.emplace_back(publish_version{std::move(Version)});
}

} // namespace endiverail
