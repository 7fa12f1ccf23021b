#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/protocol/entry_status.h"
#include "core/steering/region_rule.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Returns the entry instances that callers in a region and failure domain
/// should use, at most `limit`: those of the failure domain and then of the
/// region. If the region has too few usable ones, others stand in for each that
/// it lacks, so that the usable ones bear what they always do. Callers of
/// different failure domains get different ones of these. The rule tells
/// whether entries that stop and start as planned are lacking as well.
std::vector<const protocol::EntryStatus*> NearestEntries(
    const SteeringSnapshot& snapshot,
    std::string_view region,
    std::string_view failure_domain,
    std::size_t limit,
    RegionRule rule = RegionRule::kKeep);

}  // namespace jacinth::steering
