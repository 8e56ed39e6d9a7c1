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

/// A change among the backend servers, as one daemon tells it to others.
struct server_statement {
  std::string Id;
  server_entry Entry;
  /// How much longer the server is cold.
  milliseconds RemainingColdTime{0};
  /// The server is gone; Entry is the last that it said.
  bool Removed = false;
};

/// What users see of a backend server's statement or removal.
enum class server_change_kind { Ready, Leaving, Removed };

struct server_change {
  std::string Id;
  server_change_kind Kind = server_change_kind::Ready;
};

/// The backend servers that have registered themselves, from their records in
/// the order of the store. Statements of an earlier life, or older ones of the
/// same life, change nothing, whoever tells them. A registration that lapsed
/// while the store was away is kept until the server has had time to register
/// again, unless somebody who reads the store tells that it is gone.
class server_directory {
public:
  static constexpr std::size_t DigestBucketCount = 64;
  /// How long after its return the store may lack entries of servers that
  /// live: two seconds by the users' word, and what a read may take.
  static constexpr milliseconds GracePeriod{2'500};

  /// Takes a server's statement.
  void apply(std::string_view Id, const server_entry &Entry, steady_time Now);
  /// A server's record was removed.
  void remove(std::string_view Id, steady_time Now);

  /// Takes what another daemon knows.
  void mergeStatement(const server_statement &Statement, steady_time Now);
  /// What has changed since the last call.
  std::vector<server_statement> takeStatements() {
    return std::exchange(Statements, {});
  }
  /// All servers that are there, for a daemon that knows none.
  std::vector<server_statement> allStatements(steady_time Now) const;
  /// Equal for directories that hold the same servers in the same states.
  std::uint64_t digest() const;
  /// The digest by parts, which servers belong to by the hash of their id.
  std::span<const std::uint64_t, DigestBucketCount> digestBuckets() const {
    return Buckets;
  }
  /// What is known of the servers in the parts that differ from those of
  /// another directory, the gone included. Nothing for another number of
  /// parts.
  std::vector<server_statement>
  differingStatements(std::span<const std::uint64_t> Other,
                      steady_time Now) const;

  /// A server's record can't be read: what it said before holds.
  void onUnreadableRecord(std::string_view Id);

  /// Notes that a listing of all servers begins; endListing() removes those
  /// that have not come up in it.
  void beginListing();
  void endListing(steady_time Now);

  /// The store can't be read from here, or can again. What is removed
  /// meanwhile goes once it can be read, or with the grace's end.
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreAvailable() { StoreUnavailable = false; }
  /// Nobody could read the store for so long that registrations may have
  /// lapsed; it answers again, as of \p Return.
  void beginGracePeriod(steady_time RecoveredAt) {
    GracePeriodEnd = RecoveredAt + GracePeriod;
  }

  /// Ends the grace of entries that did not come back. Returns whether any
  /// server has gone.
  bool removeExpired(steady_time Now);
  std::optional<steady_time> nextWake() const;

  /// All servers that are there, sorted by pool, then address.
  std::vector<backend_server> servers() const;

  /// Whether something has changed since the last call.
  bool takeChanged() { return std::exchange(Changed, false); }
  /// What has changed since the last call, for the log.
  std::vector<server_change> takeChanges() {
    return std::exchange(Changes, {});
  }

private:
  struct known_server {
    server_entry Entry;
    bool Present = false;
    /// Its registration lapsed while the store was away, or shortly after: it
    /// goes with the grace's end.
    bool Expired = false;
  };

  bool inGracePeriod(steady_time Now) const;
  void removeServer(std::string_view Id, known_server &Known, steady_time Now);
  void markRemoved(std::string_view Id, known_server &Known,
                   const server_entry &Last);
  void recordChange(std::string_view Id, server_change_kind Kind);
  /// Whether the statement changed anything that users see.
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
  /// When the grace ends of registrations that lapsed while the store was away.
  steady_time GracePeriodEnd;
  bool Changed = false;
  std::vector<server_change> Changes;
  std::vector<server_statement> Statements;
};

} // namespace endiverail
