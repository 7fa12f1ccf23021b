#include "core/steering/isolated_entries.h"

#include <algorithm>

namespace jacinth::steering {
namespace {

/// Minimum percentage of a region's entries for which callers stay: instances
/// are sized to bear the loss of about a third of their region.
constexpr std::size_t kMinUsablePercent = 60;

}  // namespace

bool RegionSuffices(const RegionEntries& entries) {
  const std::size_t least = entries.lost == 0 ? 1 : kMinEntriesInRegion;
  return entries.usable >= least &&
         entries.usable * 100 >= entries.members * kMinUsablePercent;
}

void DropIsolated(const SteeringSnapshot& snapshot,
                  std::vector<const protocol::EntryStatus*>& entries) {
  // The member list is older than what this instance knows of itself.
  const auto is_isolated = [&](const protocol::EntryStatus* entry) {
    return entry->id == snapshot.self.id ? snapshot.self.isolated
                                         : entry->isolated;
  };
  if (!std::all_of(entries.begin(), entries.end(), is_isolated))
    std::erase_if(entries, is_isolated);
}

}  // namespace jacinth::steering
