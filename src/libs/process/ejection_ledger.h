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

/// Applies ejection claims in offset order, so that all readers of the log
/// compute the same result. A claim is granted when its record is read, if the
/// pool size less the floor has room for it beside the valid grants. A grant
/// lasts until its lease ends by the log's clock or its holder releases it. A
/// renewal that is refused does not shorten the grant, because the holder may
/// not know about the refusal yet.
class ejection_ledger {
public:
  /// Time for which a claim is valid after its append, by the log's clock.
  static constexpr milliseconds Lease{30'000};
  /// The holder stops using a claim this much earlier, by its own clock.
  static constexpr milliseconds HolderMargin{5'000};

  /// Applies a claim. \p Definition is the definition of the service, or
  /// nullptr if none is in force; then nothing is granted.
  void apply(const ejection_claim &Claim, const service_definition *Definition);

  /// Updates the log's clock and removes expired claims and grants.
  void advance(std::int64_t LogMilliseconds);

  /// Returns the sequence of the latest valid claim of \p Holder on \p Server
  /// that was granted and is within the budget of \p Definition, which may have
  /// shrunk since the grant.
  std::optional<std::uint64_t> granted(const service_definition &Definition,
                                       std::string_view Server,
                                       std::string_view Holder) const;

  /// Number of valid claims for a service, granted or not.
  std::size_t claimCount(std::string_view Service) const;

private:
  struct entry {
    /// The latest claim.
    ejection_claim Claim;
    /// Sequence of the latest claim that was granted.
    std::optional<std::uint64_t> GrantedSequence;
    std::int64_t GrantedAt = 0;
  };

  /// Backend servers with a granted claim, ignoring \p Except.
  std::set<std::string_view> ejectedServers(std::string_view Service,
                                            const entry *Except) const;

  /// Entries in offset order; a renewal keeps its position.
  std::vector<entry> Entries;
};

} // namespace endiverail
