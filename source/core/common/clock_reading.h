#pragma once

#include "core/common/time.h"

namespace jacinth {

/// Readings of the monotonic and the wall clock, taken once per event.
struct ClockReading {
  /// Monotonic time, used for all decisions.
  Time now{};
  /// Wall-clock time, used only for displayed times and for times that are
  /// compared across restarts.
  WallMillis wall_ms = 0;
};

}  // namespace jacinth
