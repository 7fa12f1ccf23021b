#include <chrono>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "core/common/process_clock.h"
#include "jacinthroute/tick_timer.h"
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

// Guards against a node that gets no ticks for as long as its machine was once
// suspended, as timers of asio don't count that time.
TEST_CASE("Ticks are in time after a suspension") {
  test::SuspendMachine(kSuspension);
  asio::io_context context;
  int ticks = 0;
  TickTimer timer(context, [&] { ++ticks; });
  const Time start = MonotonicNow();
  timer.Schedule(start + 20ms);
  context.run_for(kSuspension / 2);
  CHECK(ticks == 1);
  CHECK(MonotonicNow() - start >= 20ms);
}

// Guards against a node that waits for the rest of a tick's time after it has
// woken up, though the tick was due during the suspension.
TEST_CASE("An event after a suspension replaces a tick that is overdue") {
  asio::io_context context;
  int ticks = 0;
  TickTimer timer(context, [&] { ++ticks; });
  timer.Schedule(MonotonicNow() + kSuspension);
  test::SuspendMachine(2 * kSuspension);
  timer.Schedule(MonotonicNow() + 20ms);
  context.run_for(kSuspension / 2);
  CHECK(ticks == 1);
}

}  // namespace jacinth
