#pragma once

#include <array>

#include "core/common/rank.h"
#include "core/common/time.h"

namespace jacinth::admission {

/// Assigns the times at which the refused callers of one service return, no
/// faster than the service can take them along with new requests: the more
/// urgent ones first, those of a rank in the order in which they were refused.
class ReturnSchedule {
 public:
  /// Returns the delay after which a caller that is refused now should return.
  /// `per_second` is the rate at which the service takes requests. The delay is
  /// between `shortest` and `longest`, which is `longest` if the callers
  /// refused before take longer to return.
  Duration Next(Time now,
                Rank rank,
                double per_second,
                Duration shortest,
                Duration longest);

 private:
  /// Time of the next return for each rank.
  std::array<Time, kRankCount> next_returns_{};
};

}  // namespace jacinth::admission
