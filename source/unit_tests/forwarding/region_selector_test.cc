#include "core/forwarding/region_selector.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

constexpr int kObjects = 10'000;

// Returns the shares of the objects requested in `home_region` that are placed
// in each region.
std::map<std::string, double> PlacedShares(const RegionSelector& selector,
                                           const std::string& home_region) {
  std::map<std::string, double> shares;
  for (int i = 0; i < kObjects; ++i)
    shares[selector.SelectRegion(home_region, Hash64(std::to_string(i)))] +=
        1.0 / kObjects;
  return shares;
}

}  // namespace

TEST_CASE("A region with enough slots keeps its objects") {
  const RegionSelector selector({{"west", 6}, {"east", 4}, {"south", 2}});
  CHECK(PlacedShares(selector, "west")["west"] == Approx(1.0));
  CHECK(PlacedShares(selector, "east")["east"] == Approx(1.0));
}

TEST_CASE(
    "Objects that exceed a region's capacity are placed in regions with spare "
    "slots") {
  const RegionSelector selector({{"west", 6}, {"east", 4}, {"south", 2}});
  auto shares = PlacedShares(selector, "south");
  CHECK(shares["south"] == Approx(0.5).margin(0.02));
  CHECK(shares["west"] == Approx(0.5).margin(0.02));
  CHECK(shares["east"] == 0);
}

TEST_CASE("Without slots in the home region all objects are placed elsewhere") {
  const RegionSelector selector({{"west", 6}, {"east", 4}});
  CHECK(PlacedShares(selector, "south")["south"] == 0);
  CHECK(RegionSelector({}).SelectRegion("west", 1).empty());
}

}  // namespace jacinth::forwarding
