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
  double PerRequest = 0;
};

/// Bounds retries to a share of recent work, for each rank on its own, so that
/// retries of one rank cannot use up what another may spend.
class retry_budget {
public:
  explicit retry_budget(retry_terms Terms = {}) : Terms(Terms) {
    std::ranges::fill(Tokens, Terms.Initial);
  }

  void setTerms(retry_terms NewTerms) { Terms = NewTerms; }

  void onRequest(rank Rank);
  void onSuccess(rank Rank);

  /// Takes one retry, or refuses.
  bool take(rank Rank);

  bool available(rank Rank) const;

private:
  void add(double &Left, double Amount) const {
    Left = std::min(Terms.Most, Left + Amount);
  }

  retry_terms Terms;
  per_rank<double> Tokens{};
};

} // namespace endiverail
