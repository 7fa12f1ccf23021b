#pragma once

#include <cstddef>
#include <vector>

#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Minimum number of usable entries for which callers stay within their region:
/// one may fail.
inline constexpr std::size_t kMinEntriesInRegion = 2;

/// Returns true if `usable` of the `members` entries of a region can bear the
/// region's callers, so that these need not use other regions. Entries that are
/// starting are no members: their callers have not been at them.
bool RegionSuffices(std::size_t usable, std::size_t members);

/// Removes the entries that reach no endpoint, unless all of them are such.
void DropIsolated(const SteeringSnapshot& snapshot,
                  std::vector<const protocol::EntryStatus*>& entries);

}  // namespace jacinth::steering
