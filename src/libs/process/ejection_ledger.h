#pragma once

#include "base/time.h"
#include "version/configuration.h"
#include "version/ejection_claim.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Folds ejection claims in offset order. All who read the log compute the
/// same: for each service, the earliest claims that are still alive hold the
/// budget, which is the pool's size less the floor.
class ejection_ledger {
public:
  /// A claim is counted this long after its append, by the log's clock.
  static constexpr milliseconds Lease{30'000};
  /// The holder stops using a claim this much earlier, by its own clock.
  static constexpr milliseconds HolderMargin{5'000};

  void apply(const ejection_claim &Claim);

  /// Drops what has ended by the log's clock.
  void advance(std::int64_t LogMilliseconds);

  /// Whether \p Holder's claim on \p Server lies within the budget of
  /// \p Definition.
  bool granted(const service_definition &Definition, std::string_view Server,
               std::string_view Holder) const;

  /// Claims alive for a service.
  std::size_t claims(std::string_view Service) const;

  bool empty() const { return Claims.empty(); }

private:
  /// In offset order; a renewal keeps its place.
  std::vector<ejection_claim> Claims;
};

} // namespace endiverail
