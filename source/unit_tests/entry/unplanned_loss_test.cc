#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/regional_fleet.h"

namespace jacinth::entry {
namespace {

using test::RegionalFleet;

/// Time within which the member list lacks an entry that vanished.
constexpr Duration kNoticeTime = 3s;
/// Time for which the messages of entries that start last wait at their links.
constexpr Duration kSlowStart = 700ms;

// Starts entries that get their endpoints after 0.3 or 1.5 s.
void StartUnevenly(RegionalFleet& fleet,
                   const std::vector<int>& quick,
                   const std::vector<int>& slow) {
  for (const int index : quick)
    fleet.Start(index, 100ms);
  for (const int index : slow)
    fleet.Start(index, kSlowStart);
}

}  // namespace

// Guards against entries that bear the callers of all that failed beside them,
// as those don't count as missing.
TEST_CASE("Other regions stand in for most entries of a region that vanished") {
  RegionalFleet fleet(6);
  for (const int index : RegionalFleet::First(4))
    fleet.End(index);
  fleet.Run(kNoticeTime);
  CHECK(fleet.NamedBy(5).size() == 6);
}

// Guards against the same while the entries start again.
TEST_CASE("Other regions stand in for entries that restart after a failure") {
  RegionalFleet fleet(6);
  for (const int index : RegionalFleet::First(4))
    fleet.End(index);
  fleet.Run(kNoticeTime);
  StartUnevenly(fleet, {}, RegionalFleet::First(4));
  fleet.Run(1s);
  REQUIRE(fleet.Entry(5).session().members().front().starting);
  CHECK(fleet.NamedBy(5).size() == 6);
  fleet.RunUntilReady();
  fleet.Run(kNoticeTime);
  fleet.TakeShareElsewhere();
  fleet.Run(1s);
  CHECK(fleet.TakeShareElsewhere() == 0);
}

// Guards against callers who stay with the one entry of their region that is
// ready first after a restart of everything, which no entry remembers.
TEST_CASE("Callers use all entries that are ready after everything failed") {
  RegionalFleet fleet(6);
  for (const int index : RegionalFleet::First(fleet.size()))
    fleet.End(index);
  fleet.fleet().ReplaceLeader();
  fleet.Run(1s);
  // One entry of the first region is ready first, and three of the others.
  StartUnevenly(fleet, {0, 6, 7, 12},
                {1, 2, 3, 4, 5, 8, 9, 10, 11, 13, 14, 15, 16, 17});
  fleet.Run(1200ms);
  REQUIRE(fleet.Entry(0).session().members().size() == 18);
  REQUIRE(fleet.Entry(0).session().members()[1].starting);
  CHECK(fleet.NamedBy(0).size() > 1);
}

// Guards against directories that don't know what happened before their start.
TEST_CASE("Restarted directories know of entries that failed before") {
  RegionalFleet fleet(6);
  for (const int index : RegionalFleet::First(6))
    fleet.End(index);
  fleet.Run(2s);
  StartUnevenly(fleet, {0, 1}, {2, 3, 4, 5});
  fleet.Run(1200ms);
  REQUIRE(fleet.Entry(0).session().members().size() == 18);
  CHECK(fleet.NamedBy(0).size() > 2);
}

// Guards against callers who leave their region for good for an entry that is
// gone for good.
TEST_CASE("An entry that is gone for good is not missed for long") {
  RegionalFleet fleet(2);
  fleet.End(0);
  fleet.Run(kNoticeTime);
  CHECK(fleet.NamedBy(1).size() == 2);
  fleet.Run(7s);
  CHECK(fleet.NamedBy(1) == std::vector<std::string>{"e1"});
}

// Guards against entries that never get their endpoints and count as absent by
// plan, so that callers stay with the few others.
TEST_CASE("An entry that has no endpoints a minute after its start is missed") {
  RegionalFleet fleet(6);
  const std::vector<int> restarted = RegionalFleet::First(4);
  fleet.Stop(restarted);
  for (const int index : restarted) {
    fleet.Start(index);
    fleet.Entry(index).is_cut = true;
  }
  fleet.Run(10s);
  REQUIRE(fleet.Entry(5).session().members().front().starting);
  CHECK(fleet.NamedBy(5).size() == 2);
  fleet.Run(55s);
  CHECK(fleet.NamedBy(5).size() == 6);
}

}  // namespace jacinth::entry
