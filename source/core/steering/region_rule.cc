#include "core/steering/region_rule.h"

#include <algorithm>

namespace jacinth::steering {

RegionRule RegionRuleOf(const settings::FleetSettings* fleet,
                        std::string_view host) {
  if (fleet == nullptr)
    return RegionRule::kKeep;
  const auto routes = fleet->routes.find(host);
  if (routes == fleet->routes.end())
    return RegionRule::kKeep;
  // Callers get one answer for all routes of a host.
  const bool has_regions = std::any_of(
      routes->second.begin(), routes->second.end(),
      [](const auto& route) { return !route.kind.regions.empty(); });
  return has_regions ? RegionRule::kKeep : RegionRule::kPrefer;
}

}  // namespace jacinth::steering
