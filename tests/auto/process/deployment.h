#pragma once

#include "store_fleet.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace endiverail::test {

/// The shortest time that the users' deployments allow from a server's word of
/// leaving to the last request that reaches it.
inline constexpr milliseconds LeavingBound{2'000};
/// The users' deployments: 44 daemons, and 111 once they have grown.
class deployment : public store_fleet {
public:
  static constexpr std::size_t ServerCount = 30;

  explicit deployment(std::size_t Count) : store_fleet(Count) {
    configure(1);
    for (std::size_t Server = 0; Server < ServerCount; ++Server)
      say(id(Server), 1);
    pass(5s);
    std::vector<std::size_t> Reading = readers();
    while (std::ranges::find(Reading, Affected) != Reading.end())
      ++Affected;
  }

  /// All others take the daemon for lost, by a rumour.
  void takeForLost(std::size_t Index) {
    const proxy_member *Self =
        Daemons[Index].Version->View.findProxy("d" + std::to_string(Index));
    peer_message Rumour;
    Rumour.Gossip.Kind = gossip_kind::ItemsOnly;
    Rumour.Gossip.SenderId = "d0";
    Rumour.Gossip.SenderAddress = address(0);
    Rumour.Gossip.Updates = {{*Self, Losses++, member_state::Dead}};
    for (std::size_t Other = 0; Other < Daemons.size(); ++Other) {
      if (Other == Index)
        continue;
      store_control_actions Actions;
      Daemons[Other].State.onDatagram(Rumour, Now, Actions);
      perform(Other, Actions);
    }
  }

  static std::string id(std::size_t Server) {
    return "i" + std::to_string(Server);
  }

  /// A server is to get no more work: by its word, or by its entry's removal.
  void endWork(std::size_t Server, bool Gone) {
    if (Gone)
      remove(id(Server));
    else
      say(id(Server), 2, server_state::Leaving);
  }

  /// Whom a daemon tells of a server's death.
  std::vector<endpoint_text> toldOfDeath(std::size_t Index) {
    store_control_actions Actions;
    Daemons[Index].State.onNotice(server_death{"s", 7, "i1:1"}, Now, Actions);
    std::vector<endpoint_text> Told;
    for (const store_control_action &Action : Actions)
      if (const auto *Send = std::get_if<send_to_members>(&Action))
        Told.insert(Told.end(), Send->To.begin(), Send->To.end());
    return Told;
  }

  steady_time now() const { return Now; }

  /// Calls of a daemon to the store so far.
  std::size_t callsOf(std::size_t Index) const { return Daemons[Index].Calls; }

  /// All servers that stay say that they live.
  void beat(std::uint64_t Sequence, std::size_t FirstServer) {
    for (std::size_t Server = FirstServer; Server < ServerCount; ++Server)
      say(id(Server), Sequence);
  }

  /// A daemon that does not read for the others.
  std::size_t Affected = 1;

private:
  /// It refutes each loss.
  std::uint64_t Losses = 0;
};

} // namespace endiverail::test
