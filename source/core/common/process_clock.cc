#include "core/common/process_clock.h"

#include <chrono>

namespace jacinth {

Time MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

ClockReading ReadClocks() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {MonotonicNow(),
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

}  // namespace jacinth
