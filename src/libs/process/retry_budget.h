#pragma once

#include "version/rank.h"

#include <algorithm>

namespace endiverail {

/// What a retry budget allows, in retries.
struct retry_terms {
  /// Before any success was seen.
  double Initial = 3;
  double Most = 20;
  double PerSuccess = 0.1;
};

/// For a pool that all proxies of the fleet send to: few saved retries, since
/// every process may spend its own at the same time.
inline constexpr retry_terms SharedPoolRetries{1, 2, 0.15};

/// Bounds retries to a share of recent successes, for each rank on its own, so
/// that retries of one rank cannot use up what another may spend.
class retry_budget {
public:
  explicit retry_budget(retry_terms Terms = {}) : Terms(Terms) {
    std::ranges::fill(Tokens, Terms.Initial);
  }

  void onSuccess(rank Rank);

  /// Takes one retry, or refuses.
  bool take(rank Rank);

  bool available(rank Rank) const;

private:
  retry_terms Terms;
  per_rank<double> Tokens{};
};

} // namespace endiverail
