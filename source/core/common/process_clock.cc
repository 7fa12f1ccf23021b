#include "core/common/process_clock.h"

#include <chrono>
#include <ctime>

namespace jacinth {

// The steady clock stands still while the machine is suspended, so that leases
// and lists would not age.
Time MonotonicNow() {
  timespec reading{};
  ::clock_gettime(CLOCK_BOOTTIME, &reading);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(reading.tv_sec) +
      std::chrono::nanoseconds(reading.tv_nsec)));
}

ClockReading ReadClocks() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {MonotonicNow(),
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

}  // namespace jacinth
