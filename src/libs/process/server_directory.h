#pragma once

#include "process/keyed_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  milliseconds ColdLeft{0};
  /// The server is gone; Entry is the last that it said.
  bool Removed = false;
};

/// What users see of a backend server's statement or removal.
enum class server_change_kind { Ready, Leaving, Gone };

struct server_change {
  std::string Id;
  server_change_kind Kind = server_change_kind::Ready;
};

/// The backend servers that have registered themselves, from their records in
/// the order of the store. Statements of an earlier life, or older ones of the
/// same life, change nothing. A registration that lapsed while the store was
/// away is kept until the server has had time to register again.
class server_directory {
public:
  /// How long after its return the store may lack entries of servers that
  /// live: two seconds by the users' word, and what a read may take.
  static constexpr milliseconds ReturnGrace{2'500};

  /// Takes a server's statement.
  void apply(std::string_view Id, const server_entry &Entry, steady_time Now);
  /// A server's record was removed.
  void remove(std::string_view Id, steady_time Now);

  /// Takes what another daemon has read.
  void learn(const server_statement &Statement, steady_time Now);
  /// What has changed by records from the store since the last call.
  std::vector<server_statement> takeStatements() {
    return std::exchange(Statements, {});
  }
  /// All servers that are there, for a daemon that knows none.
  std::vector<server_statement> allStatements(steady_time Now) const;
  /// Equal for directories that hold the same servers in the same states.
  std::uint64_t digest() const;

  /// A server's record can't be read: what it said before holds.
  void keep(std::string_view Id);

  /// Notes that a listing of all servers begins; endListing() removes those
  /// that have not come up in it.
  void beginListing();
  void endListing(steady_time Now);

  /// The store can't be read, or can again.
  void onStoreAway(steady_time Now);
  void onStoreBack(steady_time Now);

  /// Ends the grace of entries that did not come back. Returns whether any
  /// server has gone.
  bool expire(steady_time Now);
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
    bool Present = true;
    /// Removed while the store was away: gone at that time at the latest.
    std::optional<steady_time> GoneAt;
  };

  bool inGrace(steady_time Now) const;
  void removeKnown(std::string_view Id, known_server &Known, steady_time Now);
  void noteChange(std::string_view Id, server_change_kind Kind);
  /// Whether the statement changed anything that users see.
  bool accept(std::string_view Id, const server_entry &Entry, bool Grace);

  std::map<std::string, known_server, std::less<>> Servers;
  std::optional<std::set<std::string, std::less<>>> Listed;
  bool StoreAway = false;
  steady_time StoreBack;
  bool Changed = false;
  std::vector<server_change> Changes;
  std::vector<server_statement> Statements;
};

} // namespace endiverail
