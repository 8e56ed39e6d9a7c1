#pragma once

#include "process/control_message.h"
#include "process/expiring_set.h"
#include "process/gossip_queue.h"
#include "version/key_heirs.h"

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

  /// Forwards each item with \p TransmitLimit datagrams and keeps it for \p
  /// Lifetime.
  gossip_set(milliseconds Lifetime, std::size_t TransmitLimit,
             std::size_t MaxPerMessage)
      : Known(Lifetime, MaxItems), Pending(TransmitLimit, MaxPerMessage) {}

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
  /// Number of datagrams with which a proxy forwards each item.
  static constexpr std::size_t TransmitLimit = 24;

  /// Key heirs are kept for \p KeyLifetime after a proxy has shut down.
  explicit fleet_gossip(milliseconds KeyLifetime)
      : Heirs(KeyLifetime, TransmitLimit, MaxPerMessage) {}

  /// Queues the new version of a service, replacing an older one.
  void queueVersion(const service_version &Version);
  /// Number of services whose new version is still being forwarded.
  std::size_t queuedVersions() const { return Versions.size(); }

  gossip_set<server_death> Deaths{DeathLifetime, TransmitLimit, MaxPerMessage};
  gossip_set<server_leaving> Leaving{LeavingLifetime, TransmitLimit,
                                     MaxPerMessage};
  gossip_set<path_fault> PathFaults{PathFaultLifetime, TransmitLimit,
                                    MaxPerMessage};
  gossip_set<key_heir> Heirs;

  /// Backend servers that have announced themselves that they are leaving.
  std::set<endpoint_text, std::less<>> leavingServers() const;
  /// The issuers whose keys \p Self holds, including itself, with the
  /// generation for the next heir.
  std::vector<key_heir> keyRightsHeldBy(const proxy_incarnation &Self) const;

  /// Removes expired items. Returns whether this changes the view of the fleet.
  bool expire(steady_time Now);

  void addTo(peer_message &Message);
  /// Adds the known items for a process that missed the datagrams.
  void addTo(pull_reply &Reply) const;

private:
  static constexpr std::size_t MaxPerMessage = 8;
  /// Maximum delay of the host list behind the announcement of a backend
  /// server.
  static constexpr milliseconds LeavingLifetime{60'000};
  /// Equals the time for which a request stays in quarantine.
  static constexpr std::chrono::minutes DeathLifetime{30};
  /// Time for which a proxy is not assigned a backend server that it can't
  /// reach.
  static constexpr milliseconds PathFaultLifetime{30'000};

  gossip_queue<service_version> Versions{TransmitLimit, MaxPerMessage};
};

} // namespace endiverail
