#include "process/fleet_news.h"

namespace endiverail {

void fleet_news::tellVersion(const service_version &Version) {
  Versions.dropIf([&](const service_version &Told) {
    return Told.Service == Version.Service;
  });
  Versions.add(Version);
}

std::set<endpoint_text, std::less<>> fleet_news::leavingServers() const {
  std::set<endpoint_text, std::less<>> Servers;
  for (const server_leaving &Known : Leaving.known())
    Servers.insert(Known.Server);
  return Servers;
}

std::vector<key_successor>
fleet_news::rightsOf(const proxy_incarnation &Self) const {
  std::vector<key_successor> Rights{{Self, {}, 1}};
  std::vector<key_successor> Known = Heirs.known();
  key_successors Latest = key_successors::build(Known);
  for (const key_successor &Entry : Known)
    if (Entry.Successor == Self && *Latest.find(Entry.Issuer) == Entry)
      Rights.push_back({Entry.Issuer, {}, Entry.Generation + 1});
  return Rights;
}

bool fleet_news::expire(steady_time Now) {
  Deaths.expire(Now);
  Heirs.expire(Now);
  bool Returned = Leaving.expire(Now);
  bool Reached = PathFaults.expire(Now);
  return Returned || Reached;
}

void fleet_news::addTo(peer_message &Message) {
  Message.Changes = Versions.forMessage();
  Message.Deaths = Deaths.forMessage();
  Message.Leaving = Leaving.forMessage();
  Message.Heirs = Heirs.forMessage();
  Message.PathFaults = PathFaults.forMessage();
}

void fleet_news::addTo(pull_reply &Reply) const {
  Reply.Deaths = Deaths.known();
  Reply.Heirs = Heirs.known();
  Reply.PathFaults = PathFaults.known();
}

} // namespace endiverail
