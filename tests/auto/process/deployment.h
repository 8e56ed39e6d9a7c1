#pragma once

#include "store_fleet.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiverail::test {

/// The shortest time limit in the users' deployments from a server's
/// announcement that it is leaving to the last request that reaches it.
inline constexpr milliseconds LeavingBound{2'000};
/// A fleet as in the users' deployments: 44 daemons today, and 111 after their
/// planned growth.
class deployment : public store_fleet {
public:
  static constexpr std::size_t ServerCount = 30;

  explicit deployment(std::size_t Count) : store_fleet(Count) {
    configure(1);
    for (std::size_t Server = 0; Server < ServerCount; ++Server)
      announceServer(id(Server), 1);
    advance(5s);
    std::vector<std::size_t> Reading = readers();
    while (std::ranges::find(Reading, NonReader) != Reading.end())
      ++NonReader;
  }

  /// Makes all other daemons consider this one lost, by a forged gossip update.
  void declareLost(std::size_t Index) {
    const proxy_member *Self =
        Daemons[Index].Version->View.findProxy("d" + std::to_string(Index));
    peer_message Update;
    Update.Gossip.Kind = gossip_kind::ItemsOnly;
    Update.Gossip.SenderId = "d0";
    Update.Gossip.SenderAddress = address(0);
    Update.Gossip.Updates = {{*Self, LostIncarnation++, member_state::Dead}};
    for (std::size_t Other = 0; Other < Daemons.size(); ++Other) {
      if (Other == Index)
        continue;
      store_control_actions Actions;
      Daemons[Other].State.onDatagram(Update, Now, Actions);
      perform(Other, Actions);
    }
  }

  static std::string id(std::size_t Server) {
    return "i" + std::to_string(Server);
  }

  /// Withdraws a server: it announces that it is leaving, or its entry is
  /// removed.
  void withdrawServer(std::size_t Server, bool Removed) {
    if (Removed)
      remove(id(Server));
    else
      announceServer(id(Server), 2, server_state::Leaving);
  }

  /// A request with a fingerprint of its own was running at a daemon when the
  /// server died.
  void reportDeath(std::size_t Index, const endpoint_text &Server) {
    reportDeath(Index, server_death{"s", NextFingerprint++, Server});
  }
  void reportDeath(std::size_t Index, const server_death &Death) {
    store_control_actions Actions;
    Daemons[Index].State.onNotice(Death, Now, Actions);
    perform(Index, Actions);
  }

  /// Reports a server's death to a daemon and returns the addresses to which
  /// deaths are sent then.
  std::set<endpoint_text> recipientsOf(std::size_t Index,
                                       const server_death &Death) {
    DeathRecipients.clear();
    reportDeath(Index, Death);
    return DeathRecipients;
  }

  steady_time now() const { return Now; }

  /// Number of calls that a daemon has made to the store so far.
  std::size_t callsOf(std::size_t Index) const { return Daemons[Index].Calls; }

  /// The remaining servers renew their registrations.
  void sendHeartbeats(std::uint64_t Sequence, std::size_t FirstServer) {
    for (std::size_t Server = FirstServer; Server < ServerCount; ++Server)
      announceServer(id(Server), Sequence);
  }

  /// Index of a daemon that isn't a store reader.
  std::size_t NonReader = 1;

private:
  request_fingerprint NextFingerprint = 100;
  /// Increases with each declareLost(), because the daemon refutes each of them
  /// with a new incarnation.
  std::uint64_t LostIncarnation = 0;
};

} // namespace endiverail::test
