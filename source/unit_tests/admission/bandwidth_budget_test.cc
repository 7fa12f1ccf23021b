#include "core/admission/bandwidth_budget.h"

#include <catch2/catch.hpp>

namespace jacinth::admission {
namespace {

constexpr Time kNow{100s};

/// Requests `count` times per second for 10 s, 1,000 bytes each. Returns the
/// part that was allowed.
double AllowedPart(BandwidthBudget& budget, int count, Rank rank) {
  int allowed = 0;
  const int total = count * 10;
  for (int i = 0; i < total; ++i) {
    const Time now = kNow + i * Duration(1s) / count;
    if (!budget.Allows(rank, now))
      continue;
    ++allowed;
    budget.Count(1'000, now);
  }
  return static_cast<double>(allowed) / total;
}

}  // namespace

TEST_CASE("Requests are allowed up to the bandwidth") {
  BandwidthBudget budget(100'000);
  SECTION("all below it") {
    CHECK(AllowedPart(budget, 80, Rank::kBackground) == 1);
  }
  SECTION("a part above it") {
    const double part = AllowedPart(budget, 200, Rank::kBackground);
    CHECK(part <= 0.5);
    CHECK(part >= 0.4);
  }
}

TEST_CASE("Urgent requests are allowed while others use the bandwidth up") {
  BandwidthBudget budget(100'000);
  CHECK(AllowedPart(budget, 200, Rank::kNormal) < 1);
  const Time end = kNow + 10s;
  while (budget.Allows(Rank::kNormal, end))
    budget.Count(1'000, end);
  CHECK(budget.Allows(Rank::kUrgent, end));
  budget.Count(30'000, end);
  CHECK_FALSE(budget.Allows(Rank::kUrgent, end));
}

TEST_CASE("Bytes that were not carried can be used by other requests") {
  BandwidthBudget budget(100'000);
  while (budget.Allows(Rank::kNormal, kNow))
    budget.Count(1'000, kNow);
  budget.Count(-5'000, kNow);
  CHECK(budget.Allows(Rank::kNormal, kNow));
}

// Guards against refusing all callers for as long as the link needs for one
// long message.
TEST_CASE("A long message keeps out others for a short time only") {
  BandwidthBudget budget(100'000);
  budget.Count(10'000'000, kNow);
  CHECK_FALSE(budget.Allows(Rank::kUrgent, kNow));
  CHECK(budget.Allows(Rank::kUrgent, kNow + 1s));
  CHECK(budget.Allows(Rank::kBackground, kNow + 1100ms));
}

TEST_CASE("Without a bandwidth all requests are allowed") {
  BandwidthBudget budget(0);
  CHECK(AllowedPart(budget, 1'000, Rank::kBackground) == 1);
}

}  // namespace jacinth::admission
