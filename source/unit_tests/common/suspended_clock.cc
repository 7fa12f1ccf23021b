#include "unit_tests/common/suspended_clock.h"

#include <atomic>
#include <ctime>
#include <unistd.h>

#include <sys/syscall.h>

namespace jacinth::test {
namespace {

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

std::atomic<std::int64_t> suspended_ns = 0;

bool CountsSuspension(clockid_t clock) {
  return clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
}

}  // namespace

void SuspendMachine(Duration duration) {
  suspended_ns +=
      std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

}  // namespace jacinth::test

// Takes the place of the function of the C library in this program, also for
// the calls of the C++ library.
extern "C" int clock_gettime(clockid_t clock, timespec* reading) noexcept {
  const auto result =
      static_cast<int>(::syscall(SYS_clock_gettime, clock, reading));
  if (result != 0 || !jacinth::test::CountsSuspension(clock))
    return result;
  const std::int64_t nanos = reading->tv_nsec + jacinth::test::suspended_ns;
  reading->tv_sec += nanos / jacinth::test::kNanosPerSecond;
  reading->tv_nsec = nanos % jacinth::test::kNanosPerSecond;
  return 0;
}
