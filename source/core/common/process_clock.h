#pragma once

#include "core/common/clock_reading.h"

namespace jacinth {

/// Reads the monotonic clock, which also counts the time for which the machine
/// is suspended. Timers of asio go by the steady clock, which doesn't: their
/// expiry is set as a duration. Decision logic does not call this function; it
/// receives the time as an argument.
Time MonotonicNow();

/// Reads the monotonic and the wall clock.
ClockReading ReadClocks();

}  // namespace jacinth
