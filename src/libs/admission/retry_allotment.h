#pragma once

#include "admission/precedence.h"

#include <array>

namespace endiverail {

/// A request that would be sent once more.
struct retry_claim {
  precedence Precedence{};
  /// Whether the answer may still arrive within the target time.
  bool InTime = true;
};

/// Allots the retries of one service, of which there are a fixed share of the
/// requests, to those whose callers lose most without one. The load that it
/// answers: the servers turn more work away than may be sent again.
///
/// Most of what requests bring goes into one pool. A claim has to leave a
/// reserve in it for each more urgent rank, and for the claims in time if it
/// comes late, so that it gets what those don't need. Each rank but the most
/// urgent one keeps a guaranteed part of what its own requests bring.
class retry_allotment {
public:
  /// Part of the retries that its requests bring which a rank never loses to
  /// more urgent ones.
  static constexpr double GuaranteedShare = 0.25;

  /// Sets the number of retries that may be accumulated. Before the first
  /// request, \p Initial are available to each rank.
  void setLimits(double Initial, double Max);

  /// Adds what a request brings, as a part of a retry.
  void add(precedence Precedence, double Amount);

  bool available(const retry_claim &Claim) const;

  /// Takes a retry; returns false if the claim may get none now.
  bool take(const retry_claim &Claim);

private:
  bool mayUsePool(const retry_claim &Claim) const;
  bool isMostUrgent(std::size_t Index) const;
  double maxPool() const;

  double Max = 0;
  double Pool = 0;
  /// By precedence.
  std::array<double, PrecedenceCount> Guaranteed{};
  std::array<bool, PrecedenceCount> HasRequests{};
};

} // namespace endiverail
