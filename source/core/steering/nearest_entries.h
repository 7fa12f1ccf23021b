#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/protocol/entry_status.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Returns the entry instances that callers in a region and failure domain
/// should use: those of the region, or those of all regions if the region has
/// too few usable ones to tolerate the loss of one. Returns at most `limit`,
/// with those in the caller's failure domain first.
std::vector<const protocol::EntryStatus*> NearestEntries(
    const SteeringSnapshot& snapshot,
    std::string_view region,
    std::string_view failure_domain,
    std::size_t limit);

}  // namespace jacinth::steering
