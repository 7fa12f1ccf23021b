#include <chrono>

#include <catch2/catch.hpp>

#include "core/common/process_clock.h"
#include "unit_tests/common/suspended_clock.h"

namespace jacinth {
namespace {

constexpr Duration kSuspension = 5s;

}  // namespace

// Guards against an entry that wakes up and takes its settings and lists for
// current, and against a leader that wakes up and takes its lease for valid.
TEST_CASE("The monotonic clock counts the time of a suspension") {
  const ClockReading before = ReadClocks();
  const auto steady = std::chrono::steady_clock::now();
  test::SuspendMachine(kSuspension);
  CHECK(std::chrono::steady_clock::now() - steady < kSuspension);
  const ClockReading after = ReadClocks();
  CHECK(after.now - before.now >= kSuspension);
  CHECK(after.now - before.now < 2 * kSuspension);
  // Allows for the rounding of both readings.
  CHECK(after.wall_ms - before.wall_ms >= ToMillis(kSuspension) - 1);
}

}  // namespace jacinth
