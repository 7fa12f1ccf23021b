#include "core/forwarding/region_selector.h"

#include <algorithm>
#include <utility>

namespace jacinth::forwarding {
namespace {

/// Number of values of a 64-bit hash: 2^64.
constexpr double kHashRange = 18446744073709551616.0;

}  // namespace

RegionSelector::RegionSelector(std::map<std::string, double> slots)
    : slots_(std::move(slots)) {
  for (const auto& [region, region_slots] : slots_)
    total_slots_ += region_slots;
}

std::string RegionSelector::SelectRegion(const std::string& home_region,
                                         std::uint64_t object_hash) const {
  if (total_slots_ <= 0)
    return "";
  const double fair_share = total_slots_ / static_cast<double>(slots_.size());
  const auto home_found = slots_.find(home_region);
  const double home_slots = home_found == slots_.end() ? 0 : home_found->second;
  double position = static_cast<double>(object_hash) / kHashRange;
  const double home_share = std::min(1.0, home_slots / fair_share);
  if (position < home_share)
    return home_region;
  // Distributes the remaining objects over the other regions in proportion to
  // their spare slots.
  double spare_slots = 0;
  for (const auto& [region, region_slots] : slots_)
    spare_slots +=
        region == home_region ? 0 : std::max(0.0, region_slots - fair_share);
  if (spare_slots <= 0)
    return home_region;
  position = (position - home_share) / (1 - home_share) * spare_slots;
  for (const auto& [region, region_slots] : slots_) {
    if (region == home_region)
      continue;
    position -= std::max(0.0, region_slots - fair_share);
    if (position < 0)
      return region;
  }
  return home_region;
}

}  // namespace jacinth::forwarding
