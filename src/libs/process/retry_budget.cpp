#include "process/retry_budget.h"

namespace endiverail {

void retry_budget::onRequest(rank Rank) {
  add(Tokens[rankIndex(Rank)], Terms.PerRequest);
}

void retry_budget::onSuccess(rank Rank) {
  add(Tokens[rankIndex(Rank)], Terms.PerSuccess);
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
