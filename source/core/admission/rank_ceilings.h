#pragma once

#include <array>

#include "core/common/rank.h"

namespace jacinth::admission {

/// Limits the number of requests that an entry instance holds at once, each of
/// which occupies a thread. Lower ranks reach their ceiling first, so that a
/// flood of them leaves threads for urgent requests.
class RankCeilings {
 public:
  explicit RankCeilings(int max_requests) : max_requests_(max_requests) {}

  /// Counts a request of `rank`. Returns false if the ceiling of this rank or
  /// of a higher one is reached.
  bool TryAdmit(Rank rank);
  /// Removes a request of `rank` from the counts.
  void Release(Rank rank);

  int held() const { return held_; }

 private:
  int Ceiling(Rank rank) const;

  int max_requests_;
  int held_ = 0;
  /// Number of requests held of each rank and all ranks below it.
  std::array<int, kRankCount> held_at_or_below_{};
};

}  // namespace jacinth::admission
