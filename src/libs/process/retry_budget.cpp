#include "process/retry_budget.h"

#include <algorithm>
#include <functional>

namespace endiverail {

retry_limits retry_allowance::limitsFor(std::size_t Entries) const {
  // Safety margin for daemons that have a different view of the fleet size.
  constexpr double Margin = 0.8;
  // Daemons that start together, such as after a power failure, may spend these
  // tokens at the same time.
  constexpr double TokensAtStart = 0.5;
  retry_limits Limits;
  Limits.InitialTokens = TokensAtStart;
  // All daemons together may spend their accumulated tokens in one window.
  Limits.MaxTokens =
      Margin * Extra / static_cast<double>(std::max<std::size_t>(1, Entries));
  Limits.TokensPerSuccess = 0;
  Limits.TokensPerRequest = Margin * ShareOfRequests;
  Limits.SharedByRanks = true;
  return Limits;
}

void retry_budget::setLimits(retry_limits NewLimits) {
  Limits = NewLimits;
  if (std::ranges::none_of(HasRequests, std::identity{})) {
    std::ranges::fill(Tokens, Limits.InitialTokens);
    return;
  }
  std::ranges::for_each(Tokens, [this](double &RankTokens) {
    RankTokens = std::min(RankTokens, maxTokens());
  });
}

void retry_budget::onRequest(rank Rank) {
  HasRequests[rankIndex(Rank)] = true;
  add(Rank, Limits.TokensPerRequest);
}

void retry_budget::onSuccess(rank Rank) { add(Rank, Limits.TokensPerSuccess); }

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
  double &RankTokens = Tokens[rankIndex(Rank)];
  RankTokens = std::min(maxTokens(), RankTokens + Amount);
}

double retry_budget::maxTokens() const {
  if (!Limits.SharedByRanks)
    return Limits.MaxTokens;
  auto Ranks =
      std::max<std::ptrdiff_t>(1, std::ranges::count(HasRequests, true));
  // With a maximum below one token, no retry would ever be possible.
  return std::max(1.0, Limits.MaxTokens / static_cast<double>(Ranks));
}

} // namespace endiverail
