#pragma once

#include "process/control_message.h"
#include "process/gossip_news.h"
#include "process/recent_set.h"
#include "version/key_successors.h"

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace endiverail {

/// One kind of news: what is known of it, and what of that is being told.
template <std::totally_ordered News> class news_topic {
public:
  static constexpr std::size_t MostRemembered = 4096;

  /// Each piece goes with \p Copies datagrams and is remembered for \p Memory.
  news_topic(milliseconds Memory, std::size_t Copies, std::size_t PerMessage)
      : Known(Memory, MostRemembered), Pending(Copies, PerMessage) {}

  /// Takes a piece and tells it on. Returns whether it was new.
  bool tell(const News &Piece, steady_time Now) {
    bool New = Known.note(Piece, Now);
    if (New)
      Pending.add(Piece);
    return New;
  }

  /// Takes a piece without telling it on. Returns whether it was new.
  bool learn(const News &Piece, steady_time Now) {
    return Known.note(Piece, Now);
  }

  /// Forgets old pieces. Returns whether there were any.
  bool expire(steady_time Now) { return !Known.expire(Now).empty(); }

  std::vector<News> known() const { return Known.items(); }
  std::vector<News> forMessage() { return Pending.forMessage(); }

private:
  recent_set<News> Known;
  gossip_news<News> Pending;
};

/// What the proxies of a fleet tell each other in passing. Each takes a piece
/// of news once and tells it a fixed number of times, so that none goes round
/// for ever.
class fleet_news {
public:
  /// How often a proxy tells its peers each piece of news.
  static constexpr std::size_t Copies = 24;

  /// The keys of a proxy matter for \p KeyMemory after its end.
  explicit fleet_news(milliseconds KeyMemory)
      : Heirs(KeyMemory, Copies, PerMessage) {}

  /// Tells of a service's new version, in place of an older one.
  void tellVersion(const service_version &Version);
  /// Services of whose new versions is being told.
  std::size_t versionsTold() const { return Versions.size(); }

  news_topic<server_death> Deaths{DeathMemory, Copies, PerMessage};
  news_topic<server_leaving> Leaving{LeavingMemory, Copies, PerMessage};
  news_topic<path_fault> PathFaults{PathFaultMemory, Copies, PerMessage};
  news_topic<key_successor> Heirs;

  /// Backend servers that have said themselves that they leave.
  std::set<endpoint_text, std::less<>> leavingServers() const;
  /// The issuers whose keys \p Self holds, itself among them, with the
  /// generation that the next heir gets.
  std::vector<key_successor> rightsOf(const proxy_incarnation &Self) const;

  /// Forgets old news. Returns whether a view of the fleet depends on them.
  bool expire(steady_time Now);

  void addTo(peer_message &Message);
  /// For a process that has missed the datagrams.
  void addTo(pull_reply &Reply) const;

private:
  static constexpr std::size_t PerMessage = 8;
  /// How far the host list may lag behind a backend server's own word.
  static constexpr milliseconds LeavingMemory{60'000};
  /// As long as a request stays in quarantine.
  static constexpr std::chrono::minutes DeathMemory{30};
  /// How long a proxy is kept away from a backend server that it does not
  /// reach.
  static constexpr milliseconds PathFaultMemory{30'000};

  gossip_news<service_version> Versions{Copies, PerMessage};
};

} // namespace endiverail
