#pragma once

#include "process/control_message.h"
#include "process/expiring_set.h"
#include "process/gossip_queue.h"
#include "version/key_successors.h"

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace endiverail {

/// The known items of one kind, and the queue of those that are still being
/// forwarded.
template <std::totally_ordered Item> class gossip_set {
public:
  static constexpr std::size_t MaxItems = 4096;

  /// Each item goes with \p Copies datagrams and is remembered for \p Lifetime.
  gossip_set(milliseconds Lifetime, std::size_t Copies, std::size_t PerMessage)
      : Known(Lifetime, MaxItems), Pending(Copies, PerMessage) {}

  /// Adds an item and forwards it if it is new. Returns whether it was new.
  bool addAndForward(const Item &Value, steady_time Now) {
    bool New = Known.insert(Value, Now);
    if (New)
      Pending.add(Value);
    return New;
  }

  /// Adds an item without forwarding it. Returns whether it was new.
  bool add(const Item &Value, steady_time Now) {
    return Known.insert(Value, Now);
  }

  /// Removes expired items. Returns whether there were any.
  bool expire(steady_time Now) { return !Known.expire(Now).empty(); }

  std::vector<Item> known() const { return Known.items(); }
  std::vector<Item> takeForMessage() { return Pending.takeForMessage(); }

private:
  expiring_set<Item> Known;
  gossip_queue<Item> Pending;
};

/// The items that the proxies of a fleet gossip. A proxy forwards each item
/// only when it is new to it, and a limited number of times, so that no item
/// circulates forever.
class fleet_gossip {
public:
  /// How often a proxy forwards each item.
  static constexpr std::size_t Copies = 24;

  /// The keys of a proxy matter for \p KeyLifetime after its end.
  explicit fleet_gossip(milliseconds KeyLifetime)
      : Heirs(KeyLifetime, Copies, PerMessage) {}

  /// Forwards a service's new version, in place of an older one.
  void queueVersion(const service_version &Version);
  /// Number of services whose new version is still being forwarded.
  std::size_t queuedVersions() const { return Versions.size(); }

  gossip_set<server_death> Deaths{DeathLifetime, Copies, PerMessage};
  gossip_set<server_leaving> Leaving{LeavingLifetime, Copies, PerMessage};
  gossip_set<path_fault> PathFaults{PathFaultLifetime, Copies, PerMessage};
  gossip_set<key_successor> Heirs;

  /// Backend servers that have announced themselves that they are leaving.
  std::set<endpoint_text, std::less<>> leavingServers() const;
  /// The issuers whose keys \p Self holds, itself among them, with the
  /// generation that the next heir gets.
  std::vector<key_successor>
  keyRightsHeldBy(const proxy_incarnation &Self) const;

  /// Removes expired items. Returns whether this changes the view of the fleet.
  bool expire(steady_time Now);

  void addTo(peer_message &Message);
  /// For a process that has missed the datagrams.
  void addTo(pull_reply &Reply) const;

private:
  static constexpr std::size_t PerMessage = 8;
  /// How far the host list may lag behind the announcement of a backend server.
  static constexpr milliseconds LeavingLifetime{60'000};
  /// As long as a request stays in quarantine.
  static constexpr std::chrono::minutes DeathLifetime{30};
  /// How long a proxy is kept away from a backend server that it does not
  /// reach.
  static constexpr milliseconds PathFaultLifetime{30'000};

  gossip_queue<service_version> Versions{Copies, PerMessage};
};

} // namespace endiverail
