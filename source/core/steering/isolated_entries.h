#pragma once

#include <cstddef>
#include <vector>

#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Minimum number of usable entries for which callers stay within a region that
/// has lost entries: another one may fail.
inline constexpr std::size_t kMinEntriesInRegion = 2;

/// Numbers of entries of one region.
struct RegionEntries {
  /// Entries that callers may use.
  std::size_t usable = 0;
  /// Those, the isolated ones and the lost ones. Entries that are about to stop
  /// are no members, nor are those that start: callers need not leave their
  /// region for planned work.
  std::size_t members = 0;
  /// Entries that vanished without notice.
  std::size_t lost = 0;
};

/// Returns true if the usable entries of a region can bear the region's
/// callers, so that these need not use other regions.
bool RegionSuffices(const RegionEntries& entries);

/// Removes the entries that reach no endpoint, unless all of them are such.
void DropIsolated(const SteeringSnapshot& snapshot,
                  std::vector<const protocol::EntryStatus*>& entries);

}  // namespace jacinth::steering
