#pragma once

#include "base/time.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

enum class member_state { Alive, Suspect, Dead, Left };

/// The state that a member is reported to be in.
struct member_update {
  proxy_member Proxy;
  /// Orders updates about one incarnation of a member; only the member itself
  /// increments it, to refute a suspicion.
  std::uint64_t Refutation = 0;
  member_state State = member_state::Alive;

  bool operator==(const member_update &) const = default;
};

enum class gossip_kind {
  Ping,
  Ack,
  PingRequest,
  /// Carries gossip items only and neither expects an acknowledgement nor acts
  /// as one.
  ItemsOnly,
};

/// A datagram between proxies, independent of its encoding.
struct gossip_message {
  gossip_kind Kind = gossip_kind::Ping;
  std::uint64_t Sequence = 0;
  std::string SenderId;
  endpoint_text SenderAddress;
  /// The member that the receiver of a PingRequest is to ping.
  std::string TargetId;
  endpoint_text TargetAddress;
  std::vector<member_update> Updates;
};

struct outgoing_gossip {
  endpoint_text To;
  gossip_message Message;
};

struct swim_timing {
  milliseconds Period{500};
  milliseconds AckTimeout{100};
  /// Scaled with the logarithm of the fleet size.
  milliseconds SuspicionBase{700};
  milliseconds TombstoneLifetime{60'000};
  std::size_t IndirectProbes = 3;
  std::size_t UpdatesPerMessage = 6;
};

/// A change in the known state of another member.
struct member_change {
  std::string Id;
  member_state State = member_state::Alive;
};

/// SWIM membership protocol. Each period one member is pinged, through other
/// members if it does not reply; a member that still does not reply becomes
/// suspect and later dead. Updates are piggybacked on these messages. As in
/// Lifeguard, a local health score lengthens the timeouts of a process that is
/// itself running late.
class swim {
public:
  swim(proxy_member Self, swim_timing Timing, std::uint64_t Seed);

  /// Adds addresses of possible members, from the host list or the settings.
  void addCandidates(std::span<const endpoint_text> Addresses);

  void tick(steady_time Now, std::vector<outgoing_gossip> &Out);
  void receive(const gossip_message &Message, steady_time Now,
               std::vector<outgoing_gossip> &Out);

  /// Pings the addresses immediately, for a process that has just started.
  /// Every process that replies becomes a member and learns about this one; a
  /// member known only through others may not know about this process yet.
  void pingAddresses(std::span<const endpoint_text> Addresses,
                     std::vector<outgoing_gossip> &Out);

  /// Sends the pending updates to \p Count random members immediately.
  void pingRandomPeers(std::size_t Count, std::vector<outgoing_gossip> &Out);

  /// Applies updates received outside of gossip, such as a complete member
  /// list.
  void applyUpdates(std::span<const member_update> Updates, steady_time Now);

  /// Announces whether this proxy may be handed out to callers.
  void setOffered(bool Offered);
  /// Announces that this process shuts down gracefully.
  void leave(std::vector<outgoing_gossip> &Out);

  /// This proxy and all members that are alive or suspect, sorted by id.
  std::vector<proxy_member> members() const;
  /// Members that are considered dead. Some may still be running, because a
  /// process that runs late is easily declared dead. Members that left
  /// gracefully are not included.
  std::vector<proxy_member> deadMembers() const;
  std::vector<member_update> updates() const;
  std::vector<endpoint_text> randomPeers(std::size_t Count);
  std::size_t size() const;

  /// Returns the changes since the last call.
  std::vector<member_change> takeChanges();
  bool hasChanges() const { return !Changes.empty(); }
  /// Increases whenever the result of members() may have changed.
  std::uint64_t revision() const { return Revision; }
  std::size_t localHealth() const { return HealthScore; }
  steady_time nextWake() const;
  const proxy_member &self() const { return Self.Proxy; }

private:
  struct member {
    member_update Update;
    steady_time Since;
  };
  struct pending_update {
    member_update Update;
    std::size_t Sent = 0;
  };
  struct probe {
    std::string Id;
    endpoint_text Address;
    std::uint64_t Sequence = 0;
    steady_time Sent;
    bool Indirect = false;
  };
  struct relay {
    endpoint_text Requester;
    std::uint64_t RequesterSequence = 0;
    steady_time Until;
  };

  void apply(const member_update &Update, steady_time Now);
  void refute(const member_update &Claim);
  void queueUpdate(const member_update &Update);
  std::vector<member_update> takePendingUpdates();
  void addKnownState(std::string_view Id, gossip_message &Message) const;
  gossip_message message(gossip_kind Kind, std::uint64_t Sequence);
  void startProbe(steady_time Now, std::vector<outgoing_gossip> &Out);
  void checkProbe(steady_time Now, std::vector<outgoing_gossip> &Out);
  void endProbe(steady_time Now);
  void expireSuspicions(steady_time Now);
  void setState(member &Member, member_state State, steady_time Now);
  milliseconds scaledByHealth(milliseconds Time) const;
  milliseconds suspicionTimeout() const;
  void raiseHealthScore();
  std::optional<std::string> nextTarget();

  member_update Self;
  swim_timing Timing;
  std::mt19937_64 Random;
  std::map<std::string, member, std::less<>> Members;
  std::deque<endpoint_text> Candidates;
  std::vector<std::string> ProbeOrder;
  std::vector<pending_update> PendingUpdates;
  std::optional<probe> Probe;
  std::map<std::uint64_t, relay> Relays;
  std::vector<member_change> Changes;
  std::uint64_t NextSequence = 1;
  std::uint64_t Revision = 1;
  std::size_t HealthScore = 0;
  steady_time NextPeriod;
};

} // namespace endiverail
