#include "core/forwarding/region_share.h"

#include <algorithm>
#include <utility>

namespace jacinth::forwarding {
namespace {

/// 2^64, the size of the range of `draw`.
constexpr double kDrawRange = 18446744073709551616.0;

}  // namespace

RegionShare::RegionShare(std::map<std::string, double> slots)
    : slots_(std::move(slots)) {
  for (const auto& [region, count] : slots_)
    total_ += count;
}

std::string RegionShare::RegionFor(const std::string& home,
                                   std::uint64_t draw) const {
  if (total_ <= 0)
    return "";
  const double fair = total_ / static_cast<double>(slots_.size());
  const auto own = slots_.find(home);
  const double held = own == slots_.end() ? 0 : own->second;
  double position = static_cast<double>(draw) / kDrawRange;
  const double home_share = std::min(1.0, held / fair);
  if (position < home_share)
    return home;
  // Distributes the rest over the other regions in proportion to their spare
  // slots.
  double spare = 0;
  for (const auto& [region, count] : slots_)
    spare += region == home ? 0 : std::max(0.0, count - fair);
  if (spare <= 0)
    return home;
  position = (position - home_share) / (1 - home_share) * spare;
  for (const auto& [region, count] : slots_) {
    if (region == home)
      continue;
    position -= std::max(0.0, count - fair);
    if (position < 0)
      return region;
  }
  return home;
}

}  // namespace jacinth::forwarding
