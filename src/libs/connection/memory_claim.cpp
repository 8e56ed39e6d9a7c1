#include "connection/memory_claim.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace endiverail {
namespace {

/// Callers on slow links pause for less.
constexpr milliseconds StallTime{1'000};
constexpr std::size_t MuchLarger = 2;

} // namespace

std::optional<std::uint64_t>
chooseEviction(std::span<const memory_claim> Claims, const memory_claim &Wanted,
               steady_time Now) {
  std::vector<memory_claim> Others;
  std::ranges::copy_if(
      Claims, std::back_inserter(Others), [&](const memory_claim &Claim) {
        return Claim.Connection != Wanted.Connection && Claim.Bytes != 0 &&
               Claim.Use != memory_use::RequestInProgress;
      });
  if (Others.empty())
    return std::nullopt;
  auto Slowest =
      std::ranges::min_element(Others, {}, &memory_claim::LastProgress);
  if (Now - Slowest->LastProgress >= StallTime)
    return Slowest->Connection;

  auto Answers = std::ranges::partition(Others, [](const memory_claim &Claim) {
    return Claim.Use == memory_use::IncompleteRequest;
  });
  auto Largest = std::ranges::max_element(Others.begin(), Answers.begin(), {},
                                          &memory_claim::Bytes);
  if (Largest != Answers.begin() && Largest->Bytes / MuchLarger >= Wanted.Bytes)
    return Largest->Connection;
  if (Wanted.Use != memory_use::UnreadAnswer || Answers.empty())
    return std::nullopt;
  return std::ranges::min_element(Answers, {}, &memory_claim::LastProgress)
      ->Connection;
}

} // namespace endiverail
