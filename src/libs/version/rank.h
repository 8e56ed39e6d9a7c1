#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace endiverail {

/// Priority class of requests; lower values are served first.
enum class rank { Urgent, Normal, Background };

inline constexpr std::size_t RankCount = 3;
inline constexpr std::array<rank, RankCount> AllRanks{
    rank::Urgent, rank::Normal, rank::Background};

/// One value for each rank.
template <typename T> using per_rank = std::array<T, RankCount>;

constexpr std::size_t rankIndex(rank Rank) {
  return static_cast<std::size_t>(Rank);
}

constexpr std::string_view rankName(rank Rank) {
  constexpr per_rank<std::string_view> Names{"urgent", "normal", "background"};
  return Names[rankIndex(Rank)];
}

} // namespace endiverail
