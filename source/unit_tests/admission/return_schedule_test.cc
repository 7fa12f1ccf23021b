#include "core/admission/return_schedule.h"

#include <catch2/catch.hpp>

namespace jacinth::admission {
namespace {

constexpr Time kNow{100s};

}  // namespace

// Guards against refused callers that all return at the same moment.
TEST_CASE(
    "Refused callers return in the order of their refusals, at the rate "
    "of the service") {
  ReturnSchedule schedule;
  Duration last = 0s;
  for (int i = 0; i < 5; ++i) {
    const Duration next = schedule.Next(kNow, Rank::kNormal, 20, 100ms, 2s);
    if (i == 0)
      CHECK(next == 100ms);
    else
      CHECK(next >= last + 50ms);
    last = next;
  }
  // The plan is kept, whoever asks later.
  CHECK(kNow + schedule.Next(kNow + 50ms, Rank::kNormal, 20, 100ms, 2s) +
            50ms >=
        kNow + last);
}

// Guards against urgent callers that wait behind less urgent ones which were
// refused before them.
TEST_CASE("Urgent refused callers return before less urgent ones") {
  ReturnSchedule schedule;
  Duration last_normal = 0s;
  for (int i = 0; i < 10; ++i)
    last_normal = schedule.Next(kNow, Rank::kNormal, 20, 100ms, 2s);
  CHECK(schedule.Next(kNow, Rank::kUrgent, 20, 100ms, 2s) == 100ms);
  CHECK(schedule.Next(kNow, Rank::kUrgent, 20, 100ms, 2s) == 200ms);
  // Both kinds together don't return faster than the service takes them.
  const Duration next = schedule.Next(kNow, Rank::kNormal, 20, 100ms, 2s);
  CHECK(next == last_normal + 300ms);
}

TEST_CASE("A refused caller is never asked to wait beyond the longest delay") {
  ReturnSchedule schedule;
  for (int i = 0; i < 100; ++i) {
    const Duration next = schedule.Next(kNow, Rank::kNormal, 1, 100ms, 700ms);
    CHECK(next >= 100ms);
    CHECK(next <= 700ms);
  }
  CHECK(schedule.Next(kNow + 60s, Rank::kNormal, 1, 100ms, 700ms) == 100ms);
}

}  // namespace jacinth::admission
