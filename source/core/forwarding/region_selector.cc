#include "core/forwarding/region_selector.h"

#include <algorithm>
#include <utility>

namespace jacinth::forwarding {
namespace {

/// 2^64, the size of the range of `draw`.
constexpr double kDrawRange = 18446744073709551616.0;

}  // namespace

RegionSelector::RegionSelector(std::map<std::string, double> slots)
    : slots_(std::move(slots)) {
  for (const auto& [region, region_slots] : slots_)
    total_slots_ += region_slots;
}

std::string RegionSelector::SelectRegion(const std::string& home,
                                         std::uint64_t draw) const {
  if (total_slots_ <= 0)
    return "";
  const double fair_share = total_slots_ / static_cast<double>(slots_.size());
  const auto home_entry = slots_.find(home);
  const double home_slots = home_entry == slots_.end() ? 0 : home_entry->second;
  double position = static_cast<double>(draw) / kDrawRange;
  const double home_share = std::min(1.0, home_slots / fair_share);
  if (position < home_share)
    return home;
  // Distributes the rest over the other regions in proportion to their spare
  // slots.
  double spare_slots = 0;
  for (const auto& [region, region_slots] : slots_)
    spare_slots +=
        region == home ? 0 : std::max(0.0, region_slots - fair_share);
  if (spare_slots <= 0)
    return home;
  position = (position - home_share) / (1 - home_share) * spare_slots;
  for (const auto& [region, region_slots] : slots_) {
    if (region == home)
      continue;
    position -= std::max(0.0, region_slots - fair_share);
    if (position < 0)
      return region;
  }
  return home;
}

}  // namespace jacinth::forwarding
