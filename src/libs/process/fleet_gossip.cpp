#include "process/fleet_gossip.h"

namespace endiverail {

void fleet_gossip::queueVersion(const service_version &Version) {
  Versions.removeIf([&](const service_version &Taken) {
    return Taken.Service == Version.Service;
  });
  Versions.add(Version);
}

std::set<endpoint_text, std::less<>> fleet_gossip::leavingServers() const {
  std::set<endpoint_text, std::less<>> Servers;
  for (const server_leaving &Known : Leaving.known())
    Servers.insert(Known.Server);
  return Servers;
}

std::vector<key_successor>
fleet_gossip::keyRightsHeldBy(const proxy_incarnation &Self) const {
  std::vector<key_successor> Rights{{Self, {}, 1}};
  std::vector<key_successor> Known = Heirs.known();
  key_successors Latest = key_successors::build(Known);
  for (const key_successor &Entry : Known)
    if (Entry.Successor == Self && *Latest.find(Entry.Issuer) == Entry)
      Rights.push_back({Entry.Issuer, {}, Entry.Generation + 1});
  return Rights;
}

bool fleet_gossip::expire(steady_time Now) {
  Deaths.expire(Now);
  Heirs.expire(Now);
  bool Returned = Leaving.expire(Now);
  bool Reached = PathFaults.expire(Now);
  return Returned || Reached;
}

void fleet_gossip::addTo(peer_message &Message) {
  Message.Changes = Versions.takeForMessage();
  Message.Deaths = Deaths.takeForMessage();
  Message.Leaving = Leaving.takeForMessage();
  Message.Heirs = Heirs.takeForMessage();
  Message.PathFaults = PathFaults.takeForMessage();
}

void fleet_gossip::addTo(pull_reply &Reply) const {
  Reply.Deaths = Deaths.known();
  Reply.Heirs = Heirs.known();
  Reply.PathFaults = PathFaults.known();
}

} // namespace endiverail
