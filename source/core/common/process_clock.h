#pragma once

#include "core/common/clock_reading.h"

namespace jacinth {

/// Reads the monotonic clock. Decision logic does not call this function; it
/// receives the time as an argument.
Time MonotonicNow();

/// Reads the monotonic and the wall clock.
ClockReading ReadClocks();

}  // namespace jacinth
