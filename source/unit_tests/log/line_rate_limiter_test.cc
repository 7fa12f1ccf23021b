#include "core/log/line_rate_limiter.h"

#include <catch2/catch.hpp>

namespace jacinth::log {

TEST_CASE("Lines above the rate limit are dropped and counted") {
  LineRateLimiter limiter;
  Time now{100s};
  std::uint64_t admitted_lines = 0;
  for (int i = 0; i < 100'000; ++i) {
    now += 100us;
    if (limiter.Admit(now))
      ++admitted_lines;
  }
  // Ten seconds at 400 lines per second, after an initial burst.
  CHECK(admitted_lines >= 4'000);
  CHECK(admitted_lines <= 7'000);
  std::uint64_t dropped_lines = 0;
  for (int i = 0; i < 10 && dropped_lines == 0; ++i) {
    now += 1s;
    dropped_lines = limiter.Admit(now).value_or(0);
  }
  CHECK(dropped_lines > 0);
}

}  // namespace jacinth::log
