#pragma once

#include "admission/retry_allotment.h"
#include "version/rank.h"

#include <algorithm>
#include <cstddef>

namespace endiverail {

/// Limits of a retry budget; one token allows one retry.
struct retry_limits {
  /// Tokens before any success has been seen.
  double InitialTokens = 3;
  double MaxTokens = 20;
  double TokensPerSuccess = 0.1;
  double TokensPerRequest = 0;
  /// Whether MaxTokens is the limit of all ranks together, and tokens go by
  /// rank (retry_allotment).
  bool SharedByRanks = false;
};

/// Number of retries that a whole fleet may make within the operator's window:
/// a share of its requests and a fixed number of extra attempts.
struct retry_allowance {
  double ShareOfRequests = 0;
  double Extra = 0;

  /// The limits for each of \p Entries daemons that share the allowance.
  retry_limits limitsFor(std::size_t Entries) const;

  bool operator==(const retry_allowance &) const = default;
};

/// Token bucket that limits retries to a share of recent requests. Each rank
/// has its own tokens, so that the retries of one rank can't use up those of
/// another, unless the ranks share a maximum.
class retry_budget {
public:
  explicit retry_budget(retry_limits Limits = {}) { setLimits(Limits); }

  /// Before the first request, resets the tokens to the new initial value;
  /// afterwards, only reduces them to the new maximum.
  void setLimits(retry_limits NewLimits);

  void onRequest(rank Rank);
  void onSuccess(rank Rank);

  /// Takes a token for one retry; returns false if none is left.
  bool take(rank Rank);

  bool available(rank Rank) const;

  /// The same with the precedence of the request. Without a shared maximum only
  /// the rank of the work matters.
  void onRequest(precedence Precedence);
  bool take(const retry_claim &Claim);
  bool available(const retry_claim &Claim) const;

private:
  void add(rank Rank, double Amount);

  retry_limits Limits;
  retry_allotment Shared;
  per_rank<double> Tokens{};
  /// Which ranks have had requests.
  per_rank<bool> HasRequests{};
};

} // namespace endiverail
