#pragma once

#include "base/time.h"
#include "version/configuration.h"
#include "version/ejection_claim.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Folds ejection claims in offset order. All who read the log compute the
/// same: a claim is granted, when its record is read, if the pool's size less
/// the floor still holds it beside the grants that are alive. A grant lasts
/// until its lease ends by the log's clock or its holder gives it back; a
/// renewal that is refused does not shorten it, for the holder may not know of
/// the refusal yet.
class ejection_ledger {
public:
  /// A claim is counted this long after its append, by the log's clock.
  static constexpr milliseconds Lease{30'000};
  /// The holder stops using a claim this much earlier, by its own clock.
  static constexpr milliseconds HolderMargin{5'000};

  /// Takes a record. \p Definition is the service's, or nullptr when none is
  /// in force; then nothing is granted.
  void apply(const ejection_claim &Claim, const service_definition *Definition);

  /// Drops what has ended by the log's clock.
  void advance(std::int64_t LogMilliseconds);

  /// The sequence of the latest claim of \p Holder on \p Server that was
  /// granted, is alive and lies within the budget of \p Definition, which may
  /// have shrunk since.
  std::optional<std::uint64_t> granted(const service_definition &Definition,
                                       std::string_view Server,
                                       std::string_view Holder) const;

  /// Claims alive for a service, granted or not.
  std::size_t claimCount(std::string_view Service) const;

private:
  struct entry {
    /// The latest one.
    ejection_claim Claim;
    /// The latest one that was granted.
    std::optional<std::uint64_t> GrantedSequence;
    std::int64_t GrantedAt = 0;
  };

  /// Backend servers with a granted claim, but for \p Except.
  std::set<std::string_view> ejectedServers(std::string_view Service,
                                            const entry *Except) const;

  /// In offset order; a renewal keeps its place.
  std::vector<entry> Entries;
};

} // namespace endiverail
