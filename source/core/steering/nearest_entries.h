#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/protocol/entry_status.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Entry instances that callers at a place should use: those of their region,
/// or of all regions if too few are alive there to bear the loss of one. At
/// most `limit`, the caller's failure domain first.
std::vector<const protocol::EntryStatus*> NearestEntries(
    const SteeringSnapshot& snapshot,
    std::string_view region,
    std::string_view failure_domain,
    std::size_t limit);

}  // namespace jacinth::steering
