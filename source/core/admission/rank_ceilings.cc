#include "core/admission/rank_ceilings.h"

#include <algorithm>

namespace jacinth::admission {
namespace {

/// Ceiling of each rank together with the ranks below it, in percent of the
/// maximum number of requests.
constexpr std::array<int, kRankCount> kCeilingPercent = {100, 75, 50};

}  // namespace

bool RankCeilings::TryEnter(Rank rank) {
  for (std::size_t at = 0; at <= RankIndex(rank); ++at) {
    if (held_at_or_below_[at] >= Ceiling(kRanks[at]))
      return false;
  }
  for (std::size_t at = 0; at <= RankIndex(rank); ++at)
    ++held_at_or_below_[at];
  ++held_;
  return true;
}

void RankCeilings::Leave(Rank rank) {
  for (std::size_t at = 0; at <= RankIndex(rank); ++at)
    --held_at_or_below_[at];
  --held_;
}

int RankCeilings::Ceiling(Rank rank) const {
  return std::max(1, max_requests_ * kCeilingPercent[RankIndex(rank)] / 100);
}

}  // namespace jacinth::admission
