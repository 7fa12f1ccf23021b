#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jacinth {

/// Priority class of a request kind, most important first.
enum class Rank {
  kUrgent,
  kNormal,
  kBackground,
};

inline constexpr std::size_t kRankCount = 3;
inline constexpr std::array<Rank, kRankCount> kRanks = {
    Rank::kUrgent, Rank::kNormal, Rank::kBackground};

/// Returns "urgent", "normal" or "background".
std::string_view RankName(Rank rank);

/// Parses a name returned by RankName.
std::optional<Rank> RankFromName(std::string_view name);

/// Returns the index of `rank` in arrays with one element per rank.
constexpr std::size_t RankIndex(Rank rank) {
  return static_cast<std::size_t>(rank);
}

}  // namespace jacinth
