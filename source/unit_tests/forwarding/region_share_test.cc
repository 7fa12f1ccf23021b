#include "core/forwarding/region_share.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

constexpr int kObjects = 10'000;

// Returns the shares of the objects requested in `home` that are placed in each
// region.
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

TEST_CASE(
    "Objects beyond a region's capacity are placed where slots are spare") {
  const RegionShare share({{"west", 6}, {"east", 4}, {"south", 2}});
  auto placed = Placed(share, "south");
  CHECK(placed["south"] == Approx(0.5).margin(0.02));
  CHECK(placed["west"] == Approx(0.5).margin(0.02));
  CHECK(placed["east"] == 0);
}

TEST_CASE("Without slots in the home region all objects are placed elsewhere") {
  const RegionShare share({{"west", 6}, {"east", 4}});
  CHECK(Placed(share, "south")["south"] == 0);
  CHECK(RegionShare({}).RegionFor("west", 1).empty());
}

}  // namespace jacinth::forwarding
