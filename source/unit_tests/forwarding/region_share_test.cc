#include "core/forwarding/region_share.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

constexpr int kObjects = 10'000;

// Part of a region's objects that is placed in each region.
std::map<std::string, double> Placed(const RegionShare& share,
                                     const std::string& home) {
  std::map<std::string, double> placed;
  for (int i = 0; i < kObjects; ++i)
    placed[share.RegionFor(home, Hash64(std::to_string(i)))] += 1.0 / kObjects;
  return placed;
}

}  // namespace

TEST_CASE("A region with enough slots keeps its objects") {
  const RegionShare share({{"west", 6}, {"east", 4}, {"south", 2}});
  CHECK(Placed(share, "west")["west"] == Approx(1.0));
  CHECK(Placed(share, "east")["east"] == Approx(1.0));
}

TEST_CASE("What a small region can't hold goes where slots are to spare") {
  const RegionShare share({{"west", 6}, {"east", 4}, {"south", 2}});
  auto placed = Placed(share, "south");
  CHECK(placed["south"] == Approx(0.5).margin(0.02));
  CHECK(placed["west"] == Approx(0.5).margin(0.02));
  CHECK(placed["east"] == 0);
}

TEST_CASE("Without slots at home everything goes elsewhere") {
  const RegionShare share({{"west", 6}, {"east", 4}});
  CHECK(Placed(share, "south")["south"] == 0);
  CHECK(RegionShare({}).RegionFor("west", 1).empty());
}

}  // namespace jacinth::forwarding
