#pragma once

#include "version/rank.h"

#include <algorithm>
#include <cstddef>

namespace endiverail {

/// What a retry budget allows, in retries.
struct retry_limits {
  /// Before any success was seen.
  double InitialTokens = 3;
  double MaxTokens = 20;
  double TokensPerSuccess = 0.1;
  double TokensPerRequest = 0;
  /// Whether Most bounds all ranks together: each rank that has requests then
  /// saves an equal part of it.
  bool SharedByRanks = false;
};

/// What a whole fleet may retry within the operator's window: a share of its
/// requests and a number beside.
struct retry_allowance {
  double ShareOfRequests = 0;
  double Extra = 0;

  /// The terms for one of \p Entries daemons that spend it together.
  retry_limits limitsFor(std::size_t Entries) const;

  bool operator==(const retry_allowance &) const = default;
};

/// Bounds retries to a share of recent work, for each rank on its own, so that
/// retries of one rank cannot use up what another may spend.
class retry_budget {
public:
  explicit retry_budget(retry_limits Limits = {}) : Limits(Limits) {
    std::ranges::fill(Tokens, Limits.InitialTokens);
  }

  /// Before the first request the budget starts anew; later, what is saved is
  /// cut to what the terms allow.
  void setLimits(retry_limits NewLimits);

  void onRequest(rank Rank);
  void onSuccess(rank Rank);

  /// Takes one retry, or refuses.
  bool take(rank Rank);

  bool available(rank Rank) const;

private:
  void add(rank Rank, double Amount);
  /// What one rank may save.
  double maxTokens() const;

  retry_limits Limits;
  per_rank<double> Tokens{};
  /// Ranks that have had requests.
  per_rank<bool> HasRequests{};
};

} // namespace endiverail
