#include "process/retry_budget.h"

namespace endiverail {

void retry_budget::onRequest(rank Rank, steady_time Now) {
  add(Tokens[rankIndex(Rank)], Terms.PerRequest);
  if (LastRequest != steady_time{})
    add(Shared, Terms.PerSecond *
                    std::chrono::duration<double>(Now - LastRequest).count());
  LastRequest = Now;
}

void retry_budget::onSuccess(rank Rank) {
  add(Tokens[rankIndex(Rank)], Terms.PerSuccess);
}

bool retry_budget::take(rank Rank) {
  if (!available(Rank))
    return false;
  double &Own = Tokens[rankIndex(Rank)];
  (Own >= 1 ? Own : Shared) -= 1;
  return true;
}

bool retry_budget::available(rank Rank) const {
  return Tokens[rankIndex(Rank)] >= 1 || Shared >= 1;
}

} // namespace endiverail
