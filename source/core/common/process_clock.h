#pragma once

#include "core/common/clock_reading.h"

namespace jacinth {

/// Reads the monotonic clock. For rims only: decisions are given the time.
Time MonotonicNow();

/// Reads both clocks.
ClockReading ReadClocks();

}  // namespace jacinth
