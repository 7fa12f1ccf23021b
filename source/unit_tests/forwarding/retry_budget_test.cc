#include "core/forwarding/retry_budget.h"

#include <catch2/catch.hpp>

namespace jacinth::forwarding {

TEST_CASE("Retries stay a share of first attempts") {
  RetryBudget budget;
  int reserve = 0;
  while (budget.TryRetry())
    ++reserve;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnFirstAttempt(20);
    if (budget.TryRetry())
      ++retries;
  }
  CHECK(reserve == 10);
  CHECK(retries == 200);
}

}  // namespace jacinth::forwarding
