#include <cstdint>

#include <catch2/catch.hpp>

#include "unit_tests/support/listing_fleet.h"

namespace jacinth::entry {
namespace {

using test::ListingFleet;

}  // namespace

// Pattern: endpoints leave while the leader is kept busy or lost. Guards
// against entries that learn of it only from the next leader, after an
// election, the search for that leader and its first reading of the list.
TEST_CASE("Entries know in time of a drain that no leader tells them") {
  const bool crashes = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(crashes, seed);
    ListingFleet fleet(seed);
    REQUIRE(fleet.AllKnow(false));
    // The list shows the drain right after the leader has begun to read it, and
    // the leader is lost right before it reads it again.
    fleet.RunUntilReading();
    fleet.Run(ListingFleet::kListTime);
    fleet.DrainEndpoint();
    fleet.Run(ListingFleet::kListInterval - ListingFleet::kListTime -
              ListingFleet::kStep);
    REQUIRE(fleet.AllKnow(false));
    const int readings = fleet.readings();
    if (crashes)
      fleet.CrashLeader();
    else
      fleet.FreezeLeader(1500ms);
    fleet.Run(ListingFleet::kMaxDrainDelay -
              (ListingFleet::kListInterval - ListingFleet::kListTime));
    CHECK(fleet.AllKnow(true));
    // Two replicas, every 500 ms, and the next leader.
    CHECK(fleet.readings() - readings <= 10);
  }
}

// Guards against calls of the platform by each replica, which are limited and
// cost.
TEST_CASE("Replicas leave the list to a leader that answers") {
  ListingFleet fleet(1);
  const int before = fleet.readings();
  const int before_others = fleet.readings_by_others();
  fleet.Run(5s);
  // The leader's own, and one that it has begun before.
  CHECK(fleet.readings() - before <= 5s / ListingFleet::kListInterval + 1);
  CHECK(fleet.readings_by_others() == before_others);
}

}  // namespace jacinth::entry
