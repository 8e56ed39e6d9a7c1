#include "process/retry_budget.h"

#include <algorithm>
#include <functional>

namespace endiverail {

retry_terms retry_allowance::termsFor(std::size_t Entries) const {
  /// Left for daemons whose view of the fleet differs.
  constexpr double Margin = 0.8;
  /// Daemons that start together, as after a loss of power, spend this at once.
  constexpr double WhenStarted = 0.5;
  retry_terms Terms;
  Terms.Initial = WhenStarted;
  // What is saved may be spent within one window by all of them together.
  Terms.Most =
      Margin * Extra / static_cast<double>(std::max<std::size_t>(1, Entries));
  Terms.PerSuccess = 0;
  Terms.PerRequest = Margin * ShareOfRequests;
  Terms.SharedByRanks = true;
  return Terms;
}

void retry_budget::setTerms(retry_terms NewTerms) {
  Terms = NewTerms;
  if (std::ranges::none_of(Used, std::identity{})) {
    std::ranges::fill(Tokens, Terms.Initial);
    return;
  }
  std::ranges::for_each(
      Tokens, [this](double &Left) { Left = std::min(Left, most()); });
}

void retry_budget::onRequest(rank Rank) {
  Used[rankIndex(Rank)] = true;
  add(Rank, Terms.PerRequest);
}

void retry_budget::onSuccess(rank Rank) { add(Rank, Terms.PerSuccess); }

bool retry_budget::take(rank Rank) {
  if (!available(Rank))
    return false;
  Tokens[rankIndex(Rank)] -= 1;
  return true;
}

bool retry_budget::available(rank Rank) const {
  return Tokens[rankIndex(Rank)] >= 1;
}

void retry_budget::add(rank Rank, double Amount) {
  double &Left = Tokens[rankIndex(Rank)];
  Left = std::min(most(), Left + Amount);
}

double retry_budget::most() const {
  if (!Terms.SharedByRanks)
    return Terms.Most;
  auto Ranks = std::max<std::ptrdiff_t>(1, std::ranges::count(Used, true));
  // With less than one, nothing could ever be retried.
  return std::max(1.0, Terms.Most / static_cast<double>(Ranks));
}

} // namespace endiverail
