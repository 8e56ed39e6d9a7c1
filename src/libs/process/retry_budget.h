#pragma once

#include "version/rank.h"

namespace endiverail {

/// Bounds retries to a share of recent successes, for each rank on its own, so
/// that retries of one rank cannot use up what another may spend.
class retry_budget {
public:
  void onSuccess(rank Rank);

  /// Takes one retry, or refuses.
  bool take(rank Rank);

  bool available(rank Rank) const;

private:
  /// Retries that may be made before any success was seen.
  static constexpr double InitialRetries = 3;
  static constexpr double MostRetries = 20;
  static constexpr double RetriesPerSuccess = 0.1;

  per_rank<double> Tokens{InitialRetries, InitialRetries, InitialRetries};
};

} // namespace endiverail
