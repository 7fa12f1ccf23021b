#pragma once

#include "core/common/time.h"

namespace jacinth::admission {

/// Assigns the times at which the refused callers of one service return, in the
/// order in which they were refused and no faster than the service can take
/// them along with new requests.
class ReturnSchedule {
 public:
  /// Returns the delay after which a caller that is refused now should return.
  /// `per_second` is the rate at which the service takes requests. The delay is
  /// between `shortest` and `longest`, which is `longest` if the callers
  /// refused before take longer to return.
  Duration Next(Time now,
                double per_second,
                Duration shortest,
                Duration longest);

 private:
  Time next_return_{};
};

}  // namespace jacinth::admission
