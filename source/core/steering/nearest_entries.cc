#include "core/steering/nearest_entries.h"

#include <algorithm>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;

/// Entries of a region that callers can do with.
constexpr std::size_t kEnoughEntries = 2;

bool IsUsable(const SteeringSnapshot& snapshot, const EntryStatus& entry) {
  const bool drained = snapshot.fleet != nullptr &&
                       snapshot.fleet->entry_drains.count(entry.id) != 0;
  return !entry.draining && !drained;
}

}  // namespace

std::vector<const EntryStatus*> NearestEntries(const SteeringSnapshot& snapshot,
                                               std::string_view region,
                                               std::string_view failure_domain,
                                               std::size_t limit) {
  std::vector<const EntryStatus*> all;
  for (const EntryStatus& member : snapshot.members) {
    if (IsUsable(snapshot, member))
      all.push_back(&member);
  }
  if (all.empty() && IsUsable(snapshot, snapshot.self))
    all.push_back(&snapshot.self);
  std::vector<const EntryStatus*> near;
  for (const EntryStatus* entry : all) {
    if (entry->region == region)
      near.push_back(entry);
  }
  std::vector<const EntryStatus*>& chosen =
      near.size() >= kEnoughEntries ? near : all;
  std::stable_partition(chosen.begin(), chosen.end(),
                        [&](const EntryStatus* entry) {
                          return entry->failure_domain == failure_domain;
                        });
  if (chosen.size() > limit)
    chosen.resize(limit);
  return chosen;
}

}  // namespace jacinth::steering
