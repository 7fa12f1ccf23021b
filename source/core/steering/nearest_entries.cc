#include "core/steering/nearest_entries.h"

#include <algorithm>

#include "core/steering/isolated_entries.h"

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;

bool IsUsable(const SteeringSnapshot& snapshot, const EntryStatus& entry) {
  const bool drained = snapshot.fleet != nullptr &&
                       snapshot.fleet->drained_entries.count(entry.id) != 0;
  return !entry.draining && !drained;
}

// The member list is older than what this instance knows of itself.
bool IsStarting(const SteeringSnapshot& snapshot, const EntryStatus& entry) {
  return entry.id == snapshot.self.id ? snapshot.self.starting : entry.starting;
}

std::vector<const EntryStatus*> UsableEntries(
    const SteeringSnapshot& snapshot) {
  std::vector<const EntryStatus*> usable;
  for (const EntryStatus& member : snapshot.members) {
    if (IsUsable(snapshot, member))
      usable.push_back(&member);
  }
  if (usable.empty() && IsUsable(snapshot, snapshot.self))
    usable.push_back(&snapshot.self);
  return usable;
}

}  // namespace

std::vector<const EntryStatus*> NearestEntries(const SteeringSnapshot& snapshot,
                                               std::string_view region,
                                               std::string_view failure_domain,
                                               std::size_t limit) {
  std::vector<const EntryStatus*> available = UsableEntries(snapshot);
  const auto members_in_region = static_cast<std::size_t>(std::count_if(
      available.begin(), available.end(), [&](const EntryStatus* entry) {
        return entry->region == region && !IsStarting(snapshot, *entry);
      }));
  DropIsolated(snapshot, available);
  std::vector<const EntryStatus*> in_region;
  for (const EntryStatus* entry : available) {
    if (entry->region == region)
      in_region.push_back(entry);
  }
  std::vector<const EntryStatus*>& chosen =
      RegionSuffices(in_region.size(), members_in_region) ? in_region
                                                          : available;
  std::stable_partition(chosen.begin(), chosen.end(),
                        [&](const EntryStatus* entry) {
                          return entry->failure_domain == failure_domain;
                        });
  if (chosen.size() > limit)
    chosen.resize(limit);
  return chosen;
}

}  // namespace jacinth::steering
