#include "admission/retry_allotment.h"

#include <algorithm>
#include <functional>

namespace endiverail {
namespace {

/// Retries that a rank may accumulate of its guaranteed part. With less than
/// one it could never use them.
constexpr double MaxGuaranteed = 1;

} // namespace

void retry_allotment::setLimits(double Initial, double NewMax) {
  Max = NewMax;
  if (std::ranges::none_of(HasRequests, std::identity{})) {
    Pool = Initial;
    Guaranteed.fill(Initial);
    return;
  }
  Pool = std::min(Pool, maxPool());
}

void retry_allotment::add(precedence Precedence, double Amount) {
  std::size_t Index = Precedence.index();
  HasRequests[Index] = true;
  double Kept = 0;
  if (!isMostUrgent(Index))
    Kept = std::min(Amount * GuaranteedShare,
                    std::max(0.0, MaxGuaranteed - Guaranteed[Index]));
  Guaranteed[Index] += Kept;
  Pool = std::min(maxPool(), Pool + Amount - Kept);
}

bool retry_allotment::available(const retry_claim &Claim) const {
  std::size_t Index = Claim.Precedence.index();
  return mayUsePool(Claim) || (!isMostUrgent(Index) && Guaranteed[Index] >= 1);
}

bool retry_allotment::take(const retry_claim &Claim) {
  if (!available(Claim))
    return false;
  (mayUsePool(Claim) ? Pool : Guaranteed[Claim.Precedence.index()]) -= 1;
  return true;
}

bool retry_allotment::mayUsePool(const retry_claim &Claim) const {
  auto MoreUrgent =
      std::ranges::count(HasRequests.begin(),
                         HasRequests.begin() + static_cast<std::ptrdiff_t>(
                                                   Claim.Precedence.index()),
                         true);
  auto Levels = std::ranges::count(HasRequests, true);
  // A small pool can't hold a whole retry for each level.
  double Reserve =
      std::min(1.0, (maxPool() - 1) / static_cast<double>(
                                          std::max<std::ptrdiff_t>(1, Levels)));
  double Reserved =
      Reserve * static_cast<double>(Claim.InTime ? MoreUrgent : Levels);
  return Pool >= 1 + Reserved;
}

bool retry_allotment::isMostUrgent(std::size_t Index) const {
  return std::ranges::none_of(HasRequests.begin(),
                              HasRequests.begin() +
                                  static_cast<std::ptrdiff_t>(Index),
                              std::identity{});
}

/// Retries in the pool and all guaranteed ones together stay within the
/// maximum, as long as that allows one for each rank.
double retry_allotment::maxPool() const {
  auto Ranks =
      std::max<std::ptrdiff_t>(1, std::ranges::count(HasRequests, true));
  return std::max(1.0, Max - MaxGuaranteed * static_cast<double>(Ranks - 1));
}

} // namespace endiverail
