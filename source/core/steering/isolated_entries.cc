#include "core/steering/isolated_entries.h"

#include <algorithm>

namespace jacinth::steering {

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
