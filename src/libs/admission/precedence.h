#pragma once

#include "version/rank.h"

#include <compare>
#include <cstddef>
#include <optional>

namespace endiverail {

/// Order in which requests get what is scarce: the rank of the caller's
/// organisation goes before the rank of the kind of work. The lesser is served
/// first.
struct precedence {
  rank Organisation = rank::Normal;
  rank Work = rank::Normal;

  /// A request whose organisation has no rank counts as that of a normal one.
  static constexpr precedence of(std::optional<rank> Organisation, rank Work) {
    return {Organisation.value_or(rank::Normal), Work};
  }

  constexpr std::size_t index() const {
    return rankIndex(Organisation) * RankCount + rankIndex(Work);
  }

  auto operator<=>(const precedence &) const = default;
};

inline constexpr std::size_t PrecedenceCount = RankCount * RankCount;

} // namespace endiverail
