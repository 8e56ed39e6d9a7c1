#include "process/retry_budget.h"

#include <algorithm>

namespace endiverail {

void retry_budget::onSuccess(rank Rank) {
  double &Left = Tokens[rankIndex(Rank)];
  Left = std::min(Terms.Most, Left + Terms.PerSuccess);
}

bool retry_budget::take(rank Rank) {
  if (!available(Rank))
    return false;
  Tokens[rankIndex(Rank)] -= 1;
  return true;
}

bool retry_budget::available(rank Rank) const {
  return Tokens[rankIndex(Rank)] >= 1;
}

} // namespace endiverail
