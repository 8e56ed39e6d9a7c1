#include "process/swim.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>
#include <utility>

namespace endiverail {
namespace {

constexpr std::size_t MaxHealthScore = 6;
constexpr std::size_t MaxCandidates = 4096;
constexpr std::size_t LeaveNotifications = 8;
constexpr std::size_t CandidatesPerPeriod = 3;

bool isPresent(member_state State) {
  return State == member_state::Alive || State == member_state::Suspect;
}

/// Newer updates take precedence; of two with the same number, the one with the
/// worse state does.
auto precedence(const member_update &Update) {
  return std::tuple(Update.Proxy.Incarnation, Update.Refutation,
                    static_cast<int>(Update.State));
}

} // namespace

swim::swim(proxy_member SelfMember, swim_timing Timing, std::uint64_t Seed)
    : Self{std::move(SelfMember), 0, member_state::Alive}, Timing(Timing),
      Random(Seed) {
  queueUpdate(Self);
}

void swim::addCandidates(std::span<const endpoint_text> Addresses) {
  for (const endpoint_text &Address : Addresses) {
    bool Known =
        Address == Self.Proxy.Address ||
        std::ranges::find(Candidates, Address) != Candidates.end() ||
        std::ranges::any_of(Members | std::views::values, [&](const member &M) {
          return M.Update.Proxy.Address == Address && isPresent(M.Update.State);
        });
    if (!Known && Candidates.size() < MaxCandidates)
      Candidates.push_back(Address);
  }
}

void swim::pingAddresses(std::span<const endpoint_text> Addresses,
                         std::vector<outgoing_gossip> &Out) {
  for (const endpoint_text &Address : Addresses)
    if (Address != Self.Proxy.Address)
      Out.push_back({Address, message(gossip_kind::Ping, NextSequence++)});
}

milliseconds swim::scaledByHealth(milliseconds Time) const {
  return Time * (1 + static_cast<int>(HealthScore));
}

milliseconds swim::suspicionTimeout() const {
  double Factor = std::max(1.0, std::log2(static_cast<double>(size() + 1)) / 2);
  return std::chrono::duration_cast<milliseconds>(
      scaledByHealth(Timing.SuspicionBase) * Factor);
}

void swim::raiseHealthScore() {
  HealthScore = std::min(HealthScore + 1, MaxHealthScore);
}

/// Every change of a member or of this process passes through here.
void swim::queueUpdate(const member_update &Update) {
  ++Revision;
  std::erase_if(PendingUpdates, [&](const pending_update &Pending) {
    return Pending.Update.Proxy.Id == Update.Proxy.Id;
  });
  PendingUpdates.push_back({Update, 0});
}

std::vector<member_update> swim::takePendingUpdates() {
  auto MaxTransmissions = static_cast<std::size_t>(
      4 * std::ceil(std::log2(static_cast<double>(size() + 2))));
  std::ranges::stable_sort(PendingUpdates, {}, &pending_update::Sent);
  std::vector<member_update> Taken;
  for (pending_update &Pending :
       PendingUpdates | std::views::take(Timing.UpdatesPerMessage)) {
    Taken.push_back(Pending.Update);
    ++Pending.Sent;
  }
  std::erase_if(PendingUpdates, [&](const pending_update &Pending) {
    return Pending.Sent >= MaxTransmissions;
  });
  return Taken;
}

gossip_message swim::message(gossip_kind Kind, std::uint64_t Sequence) {
  gossip_message Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.SenderId = Self.Proxy.Id;
  Message.SenderAddress = Self.Proxy.Address;
  Message.Updates = takePendingUpdates();
  // Every datagram contains the sender's own state, so that a process that does
  // not know the sender, or has dropped it, learns about it immediately.
  Message.Updates.push_back(Self);
  return Message;
}

/// Adds the known state of a member that is not alive, so that the member
/// receives it first and can refute it.
void swim::addKnownState(std::string_view Id, gossip_message &Message) const {
  auto Found = Members.find(Id);
  if (Found != Members.end() &&
      Found->second.Update.State != member_state::Alive)
    Message.Updates.push_back(Found->second.Update);
}

std::optional<std::string> swim::nextTarget() {
  while (true) {
    if (ProbeOrder.empty()) {
      for (const auto &[Id, Member] : Members)
        if (isPresent(Member.Update.State))
          ProbeOrder.push_back(Id);
      std::ranges::shuffle(ProbeOrder, Random);
    }
    if (ProbeOrder.empty())
      return std::nullopt;
    std::string Id = std::move(ProbeOrder.back());
    ProbeOrder.pop_back();
    auto Found = Members.find(Id);
    if (Found != Members.end() && isPresent(Found->second.Update.State))
      return Id;
  }
}

void swim::startProbe(steady_time Now, std::vector<outgoing_gossip> &Out) {
  // Limits the candidates per period, so that an outdated list causes little
  // traffic.
  for (std::size_t Count = 0;
       Count < CandidatesPerPeriod && !Candidates.empty(); ++Count) {
    endpoint_text Address = Candidates.front();
    Candidates.pop_front();
    gossip_message Ping = message(gossip_kind::Ping, NextSequence++);
    for (const member &Member : Members | std::views::values)
      if (Member.Update.Proxy.Address == Address)
        addKnownState(Member.Update.Proxy.Id, Ping);
    Out.push_back({Address, std::move(Ping)});
  }
  auto Target = nextTarget();
  if (!Target)
    return;
  Probe = probe{*Target, Members.at(*Target).Update.Proxy.Address,
                NextSequence++, Now, false};
  gossip_message Ping = message(gossip_kind::Ping, Probe->Sequence);
  addKnownState(*Target, Ping);
  Out.push_back({Probe->Address, std::move(Ping)});
}

void swim::checkProbe(steady_time Now, std::vector<outgoing_gossip> &Out) {
  if (!Probe || Probe->Indirect ||
      Now - Probe->Sent < scaledByHealth(Timing.AckTimeout))
    return;
  Probe->Indirect = true;
  std::vector<const member *> Helpers;
  for (const auto &[Id, Member] : Members)
    if (Id != Probe->Id && Member.Update.State == member_state::Alive)
      Helpers.push_back(&Member);
  std::ranges::shuffle(Helpers, Random);
  for (const member *Helper :
       Helpers | std::views::take(Timing.IndirectProbes)) {
    gossip_message Request = message(gossip_kind::PingRequest, Probe->Sequence);
    Request.TargetId = Probe->Id;
    Request.TargetAddress = Probe->Address;
    Out.push_back({Helper->Update.Proxy.Address, std::move(Request)});
  }
}

void swim::endProbe(steady_time Now) {
  if (!Probe)
    return;
  auto Found = Members.find(Probe->Id);
  Probe.reset();
  raiseHealthScore();
  if (Found == Members.end() ||
      Found->second.Update.State != member_state::Alive)
    return;
  setState(Found->second, member_state::Suspect, Now);
}

void swim::setState(member &Member, member_state State, steady_time Now) {
  Member.Update.State = State;
  Member.Since = Now;
  Changes.push_back({Member.Update.Proxy.Id, State});
  queueUpdate(Member.Update);
}

void swim::expireSuspicions(steady_time Now) {
  for (member &Member : Members | std::views::values)
    if (Member.Update.State == member_state::Suspect &&
        Now - Member.Since >= suspicionTimeout())
      setState(Member, member_state::Dead, Now);
  std::erase_if(Members, [&](const auto &Entry) {
    return !isPresent(Entry.second.Update.State) &&
           Now - Entry.second.Since >= Timing.TombstoneLifetime;
  });
  std::erase_if(Relays,
                [&](const auto &Entry) { return Now >= Entry.second.Until; });
}

void swim::tick(steady_time Now, std::vector<outgoing_gossip> &Out) {
  if (Now >= NextPeriod) {
    endProbe(Now);
    expireSuspicions(Now);
    startProbe(Now, Out);
    NextPeriod = Now + scaledByHealth(Timing.Period);
  }
  checkProbe(Now, Out);
}

steady_time swim::nextWake() const {
  if (Probe && !Probe->Indirect)
    return std::min(NextPeriod,
                    Probe->Sent + scaledByHealth(Timing.AckTimeout));
  return NextPeriod;
}

void swim::refute(const member_update &Claim) {
  if (Claim.Proxy.Incarnation != Self.Proxy.Incarnation ||
      Claim.State == member_state::Alive || Claim.Refutation < Self.Refutation)
    return;
  // Other members suspect this process; the cause may be that this process is
  // running late.
  raiseHealthScore();
  Self.Refutation = Claim.Refutation + 1;
  queueUpdate(Self);
}

void swim::apply(const member_update &Update, steady_time Now) {
  if (Update.Proxy.Id == Self.Proxy.Id) {
    if (Self.State == member_state::Alive)
      refute(Update);
    return;
  }
  auto Found = Members.find(Update.Proxy.Id);
  if (Found == Members.end()) {
    // An unknown member that is dead or has left needs no entry.
    if (!isPresent(Update.State))
      return;
    Members.emplace(Update.Proxy.Id, member{Update, Now});
    Changes.push_back({Update.Proxy.Id, Update.State});
    queueUpdate(Update);
    return;
  }
  member &Known = Found->second;
  if (precedence(Update) <= precedence(Known.Update))
    return;
  bool Changed =
      Known.Update.State != Update.State || Known.Update.Proxy != Update.Proxy;
  if (Known.Update.State != Update.State)
    Known.Since = Now;
  Known.Update = Update;
  if (Changed)
    Changes.push_back({Update.Proxy.Id, Update.State});
  queueUpdate(Update);
}

void swim::applyUpdates(std::span<const member_update> Updates,
                        steady_time Now) {
  for (const member_update &Update : Updates)
    apply(Update, Now);
}

void swim::receive(const gossip_message &Message, steady_time Now,
                   std::vector<outgoing_gossip> &Out) {
  std::uint64_t RefutedBefore = Self.Refutation;
  applyUpdates(Message.Updates, Now);
  // A member that reported this process as suspect or dead is told immediately
  // that it is alive.
  if (Self.Refutation != RefutedBefore && Message.Kind == gossip_kind::Ack)
    Out.push_back(
        {Message.SenderAddress, message(gossip_kind::Ping, NextSequence++)});
  switch (Message.Kind) {
  case gossip_kind::Ping: {
    gossip_message Ack = message(gossip_kind::Ack, Message.Sequence);
    addKnownState(Message.SenderId, Ack);
    Out.push_back({Message.SenderAddress, std::move(Ack)});
    return;
  }
  case gossip_kind::PingRequest: {
    std::uint64_t Sequence = NextSequence++;
    Relays[Sequence] = {Message.SenderAddress, Message.Sequence,
                        Now + Timing.Period * 4};
    Out.push_back(
        {Message.TargetAddress, message(gossip_kind::Ping, Sequence)});
    return;
  }
  case gossip_kind::ItemsOnly:
    return;
  case gossip_kind::Ack:
    break;
  }
  if (auto Relay = Relays.find(Message.Sequence); Relay != Relays.end()) {
    Out.push_back({Relay->second.Requester,
                   message(gossip_kind::Ack, Relay->second.RequesterSequence)});
    Relays.erase(Relay);
    return;
  }
  if (!Probe || Probe->Sequence != Message.Sequence)
    return;
  if (!Probe->Indirect && HealthScore > 0)
    --HealthScore;
  Probe.reset();
}

void swim::setOffered(bool Offered) {
  if (Self.Proxy.Offered == Offered)
    return;
  Self.Proxy.Offered = Offered;
  ++Self.Refutation;
  queueUpdate(Self);
}

void swim::pingRandomPeers(std::size_t Count,
                           std::vector<outgoing_gossip> &Out) {
  for (const endpoint_text &Peer : randomPeers(Count))
    Out.push_back({Peer, message(gossip_kind::Ping, NextSequence++)});
}

void swim::leave(std::vector<outgoing_gossip> &Out) {
  Self.State = member_state::Left;
  ++Self.Refutation;
  ++Revision;
  pingRandomPeers(LeaveNotifications, Out);
}

std::vector<proxy_member> swim::members() const {
  std::vector<proxy_member> Present;
  if (isPresent(Self.State))
    Present.push_back(Self.Proxy);
  for (const member &Member : Members | std::views::values)
    if (isPresent(Member.Update.State))
      Present.push_back(Member.Update.Proxy);
  std::ranges::sort(Present, {}, &proxy_member::Id);
  return Present;
}

std::vector<proxy_member> swim::deadMembers() const {
  std::vector<proxy_member> Dead;
  for (const member &Member : Members | std::views::values)
    if (Member.Update.State == member_state::Dead)
      Dead.push_back(Member.Update.Proxy);
  return Dead;
}

std::vector<member_update> swim::updates() const {
  std::vector<member_update> All{Self};
  for (const member &Member : Members | std::views::values)
    All.push_back(Member.Update);
  return All;
}

std::vector<endpoint_text> swim::randomPeers(std::size_t Count) {
  std::vector<endpoint_text> Present;
  for (const member &Member : Members | std::views::values)
    if (isPresent(Member.Update.State))
      Present.push_back(Member.Update.Proxy.Address);
  std::vector<endpoint_text> Chosen;
  std::ranges::sample(Present, std::back_inserter(Chosen),
                      static_cast<std::ptrdiff_t>(Count), Random);
  std::ranges::shuffle(Chosen, Random);
  return Chosen;
}

std::size_t swim::size() const {
  return 1 + static_cast<std::size_t>(std::ranges::count_if(
                 Members | std::views::values, [](const member &Member) {
                   return isPresent(Member.Update.State);
                 }));
}

std::vector<member_change> swim::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace endiverail
