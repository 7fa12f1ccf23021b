#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/regional_fleet.h"

namespace jacinth::entry {
namespace {

using test::RegionalFleet;

/// Part of the requests that may be sent to other regions if nothing
/// unplanned happens.
constexpr double kMaxShareElsewhere = 1.0 / 20;

}  // namespace

// Guards against planned work that makes callers leave their region: entries
// that start count as lost ones, though callers never were at them.
TEST_CASE("A roll of many entries sends no callers to other regions") {
  RegionalFleet fleet(60);
  const int restarted = GENERATE(20, 25, 40);
  fleet.Run(1s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  fleet.Restart(RegionalFleet::First(restarted));
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against callers who leave a small region for the entries that stop.
TEST_CASE("A roll that leaves one entry of a region sends no callers away") {
  const int entries = GENERATE(2, 3);
  RegionalFleet fleet(entries);
  fleet.Run(1s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  fleet.Restart(RegionalFleet::First(entries - 1));
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against the same while the entries are gone for longer than the member
// list shows them.
TEST_CASE("Entries that are slow to start again send no callers away") {
  const int entries = GENERATE(2, 3);
  RegionalFleet fleet(entries);
  fleet.TakeShareElsewhere();
  const std::vector<int> restarted = RegionalFleet::First(entries - 1);
  fleet.Stop(restarted);
  fleet.Run(5s);
  CHECK(fleet.NamedBy(entries - 1).size() == 1);
  for (const int index : restarted)
    fleet.Start(index);
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against callers who leave a region for its size.
TEST_CASE("Callers of a region with one entry stay there") {
  RegionalFleet fleet(1);
  fleet.Run(5s);
  CHECK(fleet.TakeShareElsewhere() == 0);
}

// Guards against an entry that is left alone with the callers of those that
// failed.
TEST_CASE("Another region stands in for an entry that vanished") {
  RegionalFleet fleet(2);
  fleet.End(0);
  fleet.Run(3s);
  CHECK(fleet.NamedBy(1).size() == 2);
  fleet.Start(0, 700ms);
  fleet.Run(1s);
  CHECK(fleet.Entry(1).session().members().front().starting);
  CHECK(fleet.NamedBy(1).size() == 2);
  fleet.RunUntilReady();
  fleet.Run(3s);
  CHECK(fleet.NamedBy(1) == std::vector<std::string>{"e0", "e1"});
}

// Guards against callers without an address that serves them: those of a region
// whose last entry fails, or where all stop at once.
TEST_CASE("A region without entries is served by all others") {
  RegionalFleet fleet(3);
  SECTION("if the last one vanishes") {
    fleet.Stop({0, 1});
    fleet.Run(2s);
    fleet.End(2);
    fleet.Run(2s);
  }
  SECTION("if all stop") {
    fleet.Stop({0, 1, 2});
  }
  CHECK(fleet.NamedBy(3).size() == 6);
  CHECK(fleet.NamedBy(6) == fleet.NamedBy(3));
  fleet.Start(0);
  fleet.Start(1);
  fleet.Run(3s);
  CHECK(fleet.NamedBy(3).size() == 2);
  CHECK(fleet.NamedBy(6) == fleet.NamedBy(3));
}

// Guards against callers who leave their region for work that is planned
// anywhere in the fleet.
TEST_CASE("Planned work sends no callers to other regions") {
  const int entries = GENERATE(1, 2, 3, 12);
  RegionalFleet fleet(entries);
  fleet.TakeShareElsewhere();
  SECTION("a change") {
    fleet.fleet().Change({{"route/more",
                           {{"host", "h"},
                            {"path_prefix", "/more/"},
                            {"execution", "repeatable"},
                            {"service", "s"}}}});
  }
  SECTION("a new leader") {
    fleet.fleet().ReplaceLeader();
  }
  SECTION("an evacuation elsewhere") {
    fleet.fleet().Change(
        {{"region/region-1/failure_domain/region-1-0", {{"drain", "true"}}}});
  }
  SECTION("a stop of another region") {
    std::vector<int> elsewhere(static_cast<std::size_t>(entries));
    std::iota(elsewhere.begin(), elsewhere.end(), entries);
    fleet.Stop(elsewhere);
  }
  SECTION("a roll of a quarter of the fleet at a time") {
    // The only entry of a region can't restart without its callers leaving.
    const int first = entries == 1 ? 1 : 0;
    const int batch = std::max(fleet.size() / 4, 1);
    for (int begin = first; begin < fleet.size(); begin += batch) {
      std::vector<int> indices;
      for (int i = begin; i < std::min(begin + batch, fleet.size()); ++i)
        indices.push_back(i);
      fleet.Restart(indices);
      fleet.RunUntilReady();
    }
  }
  fleet.Run(10s);
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against the same when entries are added.
TEST_CASE("Entries that join send no callers to other regions") {
  RegionalFleet fleet(6);
  fleet.Stop(RegionalFleet::First(3));
  fleet.Run(5s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  for (const int index : RegionalFleet::First(3))
    fleet.Start(index);
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

}  // namespace jacinth::entry
