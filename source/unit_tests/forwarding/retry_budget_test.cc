#include "core/forwarding/retry_budget.h"

#include <deque>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr double kRatio = 0.2;
constexpr int kReserve = 10;
constexpr Duration kWindow = 10s;

RetryBudget MakeBudget() {
  RetryBudget budget;
  budget.Configure(kRatio, kReserve, kWindow);
  return budget;
}

}  // namespace

TEST_CASE("Retries are limited to a share of first attempts") {
  RetryBudget budget = MakeBudget();
  Time now{100s};
  int reserve = 0;
  while (budget.TryRetry(now))
    ++reserve;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnFirstAttempt(now);
    if (budget.TryRetry(now))
      ++retries;
  }
  CHECK(reserve == 10);
  CHECK(retries == 200);
}

TEST_CASE("Attempts and retries of an earlier window no longer count") {
  RetryBudget budget = MakeBudget();
  const Time start{100s};
  for (int i = 0; i < 100; ++i)
    budget.OnFirstAttempt(start);
  const Time later = start + kWindow + 1s;
  int retries = 0;
  while (budget.TryRetry(later))
    ++retries;
  CHECK(retries == kReserve);
}

TEST_CASE("Property: no window contains more retries than its budget allows") {
  CHECK(rc::check([] {
    RetryBudget budget = MakeBudget();
    Time now{100s};
    std::deque<Time> attempts;
    std::deque<Time> retries;
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
      if (*rc::gen::inRange(0, 3) == 0) {
        attempts.push_back(now);
        budget.OnFirstAttempt(now);
        continue;
      }
      if (!budget.TryRetry(now))
        continue;
      retries.push_back(now);
      const auto count_in_window = [&](const std::deque<Time>& times) {
        // First attempts in the oldest bucket count until all of it has
        // expired.
        return std::count_if(times.begin(), times.end(), [&](Time event_time) {
          return event_time > now - kWindow - kWindow / 20;
        });
      };
      const auto recent_retries =
          std::count_if(retries.begin(), retries.end(), [&](Time event_time) {
            return event_time > now - kWindow + kWindow / 20;
          });
      RC_ASSERT(static_cast<double>(recent_retries) <=
                kRatio * static_cast<double>(count_in_window(attempts)) +
                    kReserve);
    }
  }));
}

// Guards against retries that are forgotten with the bucket that counts them,
// before the window has passed them.
TEST_CASE("The reserve is used once in a window of any position") {
  RetryBudget budget = MakeBudget();
  const Time start{100s};
  budget.OnFirstAttempt(start);
  const Time used = start + kWindow / 20 - 1ms;
  while (budget.TryRetry(used)) {
  }
  int early_retries = 0;
  Time now = start;
  for (; now < used + kWindow; now += 10ms)
    early_retries += budget.TryRetry(now) ? 1 : 0;
  CHECK(early_retries == 0);
  CHECK(budget.TryRetry(now + kWindow / 20));
}

}  // namespace jacinth::forwarding
