#pragma once

#include "process/keyed_store.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail {

/// A change of a backend server, as daemons send it to each other.
struct server_statement {
  std::string Id;
  server_entry Entry;
  /// Remaining time for which the server counts as cold.
  milliseconds RemainingColdTime{0};
  /// The server was removed; Entry is its last registration.
  bool Removed = false;
};

/// The effect of a backend server's registration or removal that users see.
enum class server_change_kind { Ready, Leaving, Removed };

struct server_change {
  std::string Id;
  server_change_kind Kind = server_change_kind::Ready;
};

/// The registered backend servers, built from their records in the order of the
/// store. Registrations of an earlier server process, or older ones of the same
/// process, are ignored whatever their source. A registration that expired
/// while the store was unavailable is kept until the server has had time to
/// register again, unless a store reader reports that it was removed.
class server_directory {
public:
  static constexpr std::size_t DigestBucketCount = 64;
  /// How long after an outage the store may lack entries of running servers:
  /// the users allow two seconds, and a read takes up to half a second more.
  static constexpr milliseconds GracePeriod{2'500};

  /// Applies a server's record.
  void apply(std::string_view Id, const server_entry &Entry, steady_time Now);
  void remove(std::string_view Id, steady_time Now);

  /// Applies a statement of another daemon.
  void mergeStatement(const server_statement &Statement, steady_time Now);
  /// Returns the changes since the last call.
  std::vector<server_statement> takeStatements() {
    return std::exchange(Statements, {});
  }
  /// All present servers, for a daemon that knows none.
  std::vector<server_statement> allStatements(steady_time Now) const;
  /// Equal for directories with the same servers in the same states.
  std::uint64_t digest() const;
  /// The digest of each bucket. Servers are assigned to buckets by the hash of
  /// their ID.
  std::span<const std::uint64_t, DigestBucketCount> digestBuckets() const {
    return Buckets;
  }
  /// The servers, including removed ones, in the buckets that differ from those
  /// of another directory. Empty if the number of buckets differs.
  std::vector<server_statement>
  differingStatements(std::span<const std::uint64_t> Other,
                      steady_time Now) const;

  /// A server's record can't be decoded; its previous registration is kept.
  void onUnreadableRecord(std::string_view Id);

  /// Starts a listing of all servers. endListing() removes the servers that
  /// were not part of it.
  void beginListing();
  void endListing(steady_time Now);

  /// Whether this daemon can read the store. Servers that are removed while it
  /// can't are kept until it can again, or until the end of the grace period.
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreAvailable() { StoreUnavailable = false; }
  /// The store was unavailable to all daemons for so long that registrations
  /// may have expired; it responds again as of \p RecoveredAt.
  void beginGracePeriod(steady_time RecoveredAt) {
    GracePeriodEnd = RecoveredAt + GracePeriod;
  }

  /// The store has returned from an older copy. It may lack registrations for
  /// as long as after an outage, and may hold some that have been removed.
  void onStoreReturned(steady_time Now);

  /// Removes expired entries after the grace period. Returns whether any server
  /// was removed.
  bool removeExpired(steady_time Now);
  std::optional<steady_time> nextWake() const;

  /// All present servers, sorted by pool, then address.
  std::vector<backend_server> servers() const;

  /// Whether anything changed since the last call.
  bool takeChanged() { return std::exchange(Changed, false); }
  /// Returns the changes since the last call, for the log.
  std::vector<server_change> takeChanges() {
    return std::exchange(Changes, {});
  }

private:
  struct known_server {
    server_entry Entry;
    bool Present = false;
    /// The registration expired during an outage of the store, or shortly
    /// afterwards. The server is removed at the end of the grace period.
    bool Expired = false;
    /// The server was removed in an earlier history of the store, so that only
    /// a newer registration restores it.
    bool RemovedBeforeReturn = false;
  };

  bool inGracePeriod(steady_time Now) const;
  void removeServer(std::string_view Id, known_server &Known, steady_time Now);
  void markRemoved(std::string_view Id, known_server &Known,
                   const server_entry &Last);
  void recordChange(std::string_view Id, server_change_kind Kind);
  /// Returns whether the registration changed anything that users see.
  bool accept(std::string_view Id, const server_entry &Entry,
              bool InGracePeriod);

  void set(std::string_view Id, known_server &Known, server_entry Entry,
           bool Present);
  static std::uint64_t digestOf(std::string_view Id, const known_server &Known);
  static std::size_t bucketOf(std::string_view Id);
  static server_statement
  statementOf(std::string_view Id, const known_server &Known, steady_time Now);

  std::map<std::string, known_server, std::less<>> Servers;
  std::array<std::uint64_t, DigestBucketCount> Buckets{};
  std::optional<std::set<std::string, std::less<>>> ListedIds;
  std::size_t ExpiredCount = 0;
  bool StoreUnavailable = false;
  /// End of the grace period for registrations that expired during an outage of
  /// the store.
  steady_time GracePeriodEnd;
  bool Changed = false;
  std::vector<server_change> Changes;
  std::vector<server_statement> Statements;
};

} // namespace endiverail
