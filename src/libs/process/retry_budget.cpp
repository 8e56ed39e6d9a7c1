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
  Shared.setLimits(Limits.InitialTokens, Limits.MaxTokens);
  if (std::ranges::none_of(HasRequests, std::identity{})) {
    std::ranges::fill(Tokens, Limits.InitialTokens);
    return;
  }
  std::ranges::for_each(Tokens, [this](double &RankTokens) {
    RankTokens = std::min(RankTokens, Limits.MaxTokens);
  });
}

void retry_budget::onRequest(rank Rank) {
  onRequest(precedence::of(std::nullopt, Rank));
}

bool retry_budget::take(rank Rank) {
  return take(retry_claim{precedence::of(std::nullopt, Rank)});
}

bool retry_budget::available(rank Rank) const {
  return available(retry_claim{precedence::of(std::nullopt, Rank)});
}

void retry_budget::onRequest(precedence Precedence) {
  HasRequests[rankIndex(Precedence.Work)] = true;
  add(Precedence.Work, Limits.TokensPerRequest);
  Shared.add(Precedence, Limits.TokensPerRequest);
}

void retry_budget::onSuccess(rank Rank) { add(Rank, Limits.TokensPerSuccess); }

bool retry_budget::take(const retry_claim &Claim) {
  if (Limits.SharedByRanks)
    return Shared.take(Claim);
  if (!available(Claim))
    return false;
  Tokens[rankIndex(Claim.Precedence.Work)] -= 1;
  return true;
}

bool retry_budget::available(const retry_claim &Claim) const {
  return Limits.SharedByRanks ? Shared.available(Claim)
                              : Tokens[rankIndex(Claim.Precedence.Work)] >= 1;
}

void retry_budget::add(rank Rank, double Amount) {
  double &RankTokens = Tokens[rankIndex(Rank)];
  RankTokens = std::min(Limits.MaxTokens, RankTokens + Amount);
}

} // namespace endiverail
