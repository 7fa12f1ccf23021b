#include "core/log/line_budget.h"

#include <catch2/catch.hpp>

namespace jacinth::log {

TEST_CASE("Lines above the rate limit are dropped and counted") {
  LineBudget budget;
  Time now{100s};
  std::uint64_t written = 0;
  for (int i = 0; i < 100'000; ++i) {
    now += 100us;
    if (budget.Admit(now))
      ++written;
  }
  // Ten seconds at 400 lines per second, after an initial burst.
  CHECK(written >= 4'000);
  CHECK(written <= 7'000);
  std::uint64_t left_out = 0;
  for (int i = 0; i < 10 && left_out == 0; ++i) {
    now += 1s;
    left_out = budget.Admit(now).value_or(0);
  }
  CHECK(left_out > 0);
}

}  // namespace jacinth::log
