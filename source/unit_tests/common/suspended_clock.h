#pragma once

#include "core/common/time.h"

namespace jacinth::test {

/// Lets the clocks of this process show that the machine was suspended for
/// `duration` from now on: CLOCK_BOOTTIME and the time of day go on by it,
/// CLOCK_MONOTONIC doesn't.
void SuspendMachine(Duration duration);

}  // namespace jacinth::test
