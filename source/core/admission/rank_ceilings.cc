#include "core/admission/rank_ceilings.h"

#include <algorithm>

namespace jacinth::admission {
namespace {

/// Ceiling of each rank together with the ranks below it, in percent of the
/// maximum number of requests.
constexpr std::array<int, kRankCount> kCeilingPercent = {100, 75, 50};

}  // namespace

bool RankCeilings::TryAdmit(Rank rank) {
  for (std::size_t index = 0; index <= RankIndex(rank); ++index) {
    if (held_at_or_below_[index] >= Ceiling(kRanks[index]))
      return false;
  }
  for (std::size_t index = 0; index <= RankIndex(rank); ++index)
    ++held_at_or_below_[index];
  ++held_;
  return true;
}

void RankCeilings::Release(Rank rank) {
  for (std::size_t index = 0; index <= RankIndex(rank); ++index)
    --held_at_or_below_[index];
  --held_;
}

int RankCeilings::Ceiling(Rank rank) const {
  return std::max(1, max_requests_ * kCeilingPercent[RankIndex(rank)] / 100);
}

}  // namespace jacinth::admission
