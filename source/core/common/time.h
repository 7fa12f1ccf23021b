#pragma once

#include <chrono>
#include <cstdint>

namespace jacinth {

using Duration = std::chrono::microseconds;

/// Monotonic time, used for all decisions. The decision logic receives it as an
/// argument and does not read the clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in milliseconds since the Unix epoch.
using WallMillis = std::int64_t;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Returns `duration` in whole milliseconds, truncated.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace jacinth
