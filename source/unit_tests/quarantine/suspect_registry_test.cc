#include "core/quarantine/suspect_registry.h"

#include <catch2/catch.hpp>

namespace jacinth::quarantine {
namespace {

constexpr std::uint64_t kRequest = 7;

ClockReading At(Duration since) {
  return {Time{100s} + since, 1'000'000 + ToMillis(since)};
}

/// Reports a crash that has just ended after 50 ms.
void Report(SuspectRegistry& registry, std::uint64_t endpoint, Duration at) {
  registry.OnReport({kRequest, endpoint, 60, 10}, At(at).now);
}

}  // namespace

// Guards against a request that crashes endpoints through one entry after the
// other, each of which sees a single crash (docs/incidents/deadly.md).
TEST_CASE("Crashes that several entries report add up") {
  SuspectRegistry registry;
  registry.Reset({}, At(0s));
  Report(registry, 1, 1s);
  CHECK(registry.TakeUnrecorded(At(1s)).empty());
  Report(registry, 2, 2s);
  const auto suspected = registry.TakeUnrecorded(At(2s));
  REQUIRE(suspected.size() == 1);
  CHECK(suspected.front().endpoints == std::vector<std::uint64_t>{1, 2});
  CHECK(registry.TakeUnrecorded(At(2s)).empty());
  Report(registry, 2, 3s);
  CHECK(registry.TakeUnrecorded(At(3s)).empty());
  Report(registry, 3, 4s);
  const auto blocked = registry.TakeUnrecorded(At(4s));
  REQUIRE(blocked.size() == 1);
  CHECK(VerdictFor(blocked.front().endpoints.size()) == Verdict::kBlocked);
  CHECK(blocked.front().expires_ms > suspected.front().expires_ms);
}

TEST_CASE("A new leader continues with the suspects in the log") {
  SuspectRegistry registry;
  registry.Reset({{kRequest, {1, 2}, At(60s).wall_ms},
                  {kRequest + 1, {1, 2}, At(-1s).wall_ms}},
                 At(0s));
  CHECK(registry.TakeUnrecorded(At(1s)).empty());
  // An entry repeats its report to the new leader.
  Report(registry, 2, 1s);
  CHECK(registry.TakeUnrecorded(At(1s)).empty());
  Report(registry, 3, 2s);
  const auto blocked = registry.TakeUnrecorded(At(2s));
  REQUIRE(blocked.size() == 1);
  CHECK(blocked.front().endpoints == std::vector<std::uint64_t>{1, 2, 3});
}

TEST_CASE("An answer at any entry withdraws the suspicion") {
  SuspectRegistry registry;
  registry.Reset({}, At(0s));
  Report(registry, 1, 1s);
  registry.OnAcquittal(kRequest);
  Report(registry, 2, 2s);
  CHECK(registry.TakeUnrecorded(At(2s)).empty());
  Report(registry, 3, 3s);
  REQUIRE(registry.TakeUnrecorded(At(3s)).size() == 1);
  registry.OnAcquittal(kRequest);
  const auto withdrawn = registry.TakeUnrecorded(At(3s));
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn.front().endpoints.empty());
}

TEST_CASE("A blocked request stays blocked after its crashes are forgotten") {
  SuspectRegistry registry;
  registry.Reset({}, At(0s));
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint)
    Report(registry, endpoint, endpoint * 1s);
  REQUIRE(registry.TakeUnrecorded(At(4s)).size() == 1);
  registry.Expire(At(100s).now);
  Report(registry, 4, 101s);
  Report(registry, 5, 102s);
  // Nothing shorter replaces it in the log.
  CHECK(registry.TakeUnrecorded(At(102s)).empty());
}

}  // namespace jacinth::quarantine
