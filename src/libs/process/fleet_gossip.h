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

/// One kind of news: what is known of it, and what of that is being told.
template <std::totally_ordered Item> class gossip_set {
public:
  static constexpr std::size_t MaxItems = 4096;

  /// Each piece goes with \p Copies datagrams and is remembered for \p Memory.
  gossip_set(milliseconds Lifetime, std::size_t TransmitLimit,
             std::size_t MaxPerMessage)
      : Known(Lifetime, MaxItems), Pending(TransmitLimit, MaxPerMessage) {}

  /// Takes a piece and tells it on. Returns whether it was new.
  bool addAndForward(const Item &Value, steady_time Now) {
    bool New = Known.insert(Value, Now);
    if (New)
      Pending.add(Value);
    return New;
  }

  /// Takes a piece without telling it on. Returns whether it was new.
  bool add(const Item &Value, steady_time Now) {
    return Known.insert(Value, Now);
  }

  /// Forgets old pieces. Returns whether there were any.
  bool expire(steady_time Now) { return !Known.expire(Now).empty(); }

  std::vector<Item> known() const { return Known.items(); }
  std::vector<Item> takeForMessage() { return Pending.takeForMessage(); }

private:
  expiring_set<Item> Known;
  gossip_queue<Item> Pending;
};

/// What the proxies of a fleet tell each other in passing. Each takes a piece
/// of news once and tells it a fixed number of times, so that none goes round
/// for ever.
class fleet_gossip {
public:
  /// How often a proxy tells its peers each piece of news.
  static constexpr std::size_t TransmitLimit = 24;

  /// The keys of a proxy matter for \p KeyMemory after its end.
  explicit fleet_gossip(milliseconds KeyLifetime)
      : Heirs(KeyLifetime, TransmitLimit, MaxPerMessage) {}

  /// Tells of a service's new version, in place of an older one.
  void queueVersion(const service_version &Version);
  /// Services of whose new versions is being told.
  std::size_t queuedVersions() const { return Versions.size(); }

  gossip_set<server_death> Deaths{DeathLifetime, TransmitLimit, MaxPerMessage};
  gossip_set<server_leaving> Leaving{LeavingLifetime, TransmitLimit,
                                     MaxPerMessage};
  gossip_set<path_fault> PathFaults{PathFaultLifetime, TransmitLimit,
                                    MaxPerMessage};
  gossip_set<key_heir> Heirs;

  /// Backend servers that have said themselves that they leave.
  std::set<endpoint_text, std::less<>> leavingServers() const;
  /// The issuers whose keys \p Self holds, itself among them, with the
  /// generation that the next heir gets.
  std::vector<key_heir> keyRightsHeldBy(const proxy_incarnation &Self) const;

  /// Forgets old news. Returns whether a view of the fleet depends on them.
  bool expire(steady_time Now);

  void addTo(peer_message &Message);
  /// For a process that has missed the datagrams.
  void addTo(pull_reply &Reply) const;

private:
  static constexpr std::size_t MaxPerMessage = 8;
  /// How far the host list may lag behind a backend server's own word.
  static constexpr milliseconds LeavingLifetime{60'000};
  /// As long as a request stays in quarantine.
  static constexpr std::chrono::minutes DeathLifetime{30};
  /// How long a proxy is kept away from a backend server that it does not
  /// reach.
  static constexpr milliseconds PathFaultLifetime{30'000};

  gossip_queue<service_version> Versions{TransmitLimit, MaxPerMessage};
};

} // namespace endiverail
