#include "core/steering/nearest_entries.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include "core/common/hash.h"
#include "core/steering/isolated_entries.h"

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;

// The member list is older than what this instance knows of itself.
const EntryStatus& LatestStatus(const SteeringSnapshot& snapshot,
                                const EntryStatus& entry) {
  return entry.id == snapshot.self.id ? snapshot.self : entry;
}

bool IsDrained(const SteeringSnapshot& snapshot, const std::string& id) {
  return snapshot.fleet != nullptr &&
         snapshot.fleet->drained_entries.count(id) != 0;
}

bool IsUsable(const SteeringSnapshot& snapshot, const EntryStatus& entry) {
  return !LatestStatus(snapshot, entry).draining &&
         !IsDrained(snapshot, entry.id);
}

// Returns the number of absent entries in the regions that `in_scope` accepts.
template <typename Scope>
std::size_t CountAbsent(const SteeringSnapshot& snapshot,
                        const Scope& in_scope,
                        Absence absence) {
  const auto& absent = snapshot.absent_entries;
  return static_cast<std::size_t>(
      std::count_if(absent.begin(), absent.end(), [&](const auto& entry) {
        return in_scope(entry.second.region) &&
               entry.second.absence == absence &&
               !IsDrained(snapshot, entry.first);
      }));
}

// Returns the number of entries that stop or start as planned.
template <typename Scope>
std::size_t CountRestarting(const SteeringSnapshot& snapshot,
                            const Scope& in_scope) {
  std::size_t count = CountAbsent(snapshot, in_scope, Absence::kGone);
  for (const EntryStatus& member : snapshot.members) {
    const EntryStatus& status = LatestStatus(snapshot, member);
    const bool restarts = (status.draining || status.starting) &&
                          in_scope(member.region) &&
                          !IsDrained(snapshot, member.id) &&
                          snapshot.absent_entries.count(member.id) == 0;
    count += restarts ? 1 : 0;
  }
  return count;
}

// Returns the numbers of entries in the regions that `in_scope` accepts, other
// than that of the usable ones.
template <typename Scope>
RegionEntries CountEntries(const SteeringSnapshot& snapshot,
                           const std::vector<const EntryStatus*>& available,
                           RegionRule rule,
                           const Scope& in_scope) {
  RegionEntries entries;
  entries.lost = CountAbsent(snapshot, in_scope, Absence::kLost);
  entries.members =
      entries.lost +
      static_cast<std::size_t>(std::count_if(
          available.begin(), available.end(), [&](const EntryStatus* entry) {
            return in_scope(entry->region) &&
                   !LatestStatus(snapshot, *entry).starting;
          }));
  if (rule == RegionRule::kPrefer)
    entries.members += CountRestarting(snapshot, in_scope);
  return entries;
}

std::vector<const EntryStatus*> UsableEntries(
    const SteeringSnapshot& snapshot) {
  std::vector<const EntryStatus*> usable;
  for (const EntryStatus& member : snapshot.members) {
    if (IsUsable(snapshot, member))
      usable.push_back(&member);
  }
  // Callers close their connections to entries that an answer doesn't name, so
  // that an instance that can't serve them must not name itself alone.
  const bool can_serve = !snapshot.self.starting && !snapshot.awaits_endpoints;
  if (usable.empty() && can_serve && IsUsable(snapshot, snapshot.self)) {
    usable.push_back(&snapshot.self);
  }
  return usable;
}

/// Position of a caller's failure domain among those of its region, so that
/// callers of different ones can be sent to different entries.
struct DomainPosition {
  std::size_t index = 0;
  std::size_t count = 1;

  /// Returns where the part of the failure domain begins if `size` entries are
  /// divided among all, or that of a later one.
  std::size_t PartStart(std::size_t size, std::size_t later = 0) const {
    return (index + later) * size / count;
  }
};

DomainPosition PositionOf(const SteeringSnapshot& snapshot,
                          std::string_view region,
                          std::string_view failure_domain) {
  std::set<std::string_view> domains = {failure_domain};
  for (const EntryStatus& member : snapshot.members) {
    if (member.region == region)
      domains.insert(member.failure_domain);
  }
  const auto found = domains.find(failure_domain);
  return {static_cast<std::size_t>(std::distance(domains.begin(), found)),
          domains.size()};
}

// Reorders entries so that the first ones are others for each failure domain of
// callers, mixed from all regions, and the same whoever answers: callers close
// their connections to entries that an answer no longer names.
void SpreadOver(const DomainPosition& position,
                std::vector<const EntryStatus*>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const EntryStatus* left, const EntryStatus* right) {
              return std::pair(Hash64(left->id), std::string_view(left->id)) <
                     std::pair(Hash64(right->id), std::string_view(right->id));
            });
  const std::size_t start = position.PartStart(entries.size());
  std::rotate(entries.begin(),
              entries.begin() + static_cast<std::ptrdiff_t>(start),
              entries.end());
}

// Returns the number of usable entries that a region would have if it were as
// well off as the others.
std::size_t CountFairShare(const RegionEntries& entries,
                           const RegionEntries& others) {
  if (others.usable >= others.members)
    return entries.members;
  return entries.members * others.usable / others.members;
}

// Returns the number of entries of other regions that stand in for those that
// the caller's region lacks.
std::size_t CountStandIns(const RegionEntries& entries,
                          const RegionEntries& others,
                          const DomainPosition& position) {
  // Nothing is known of a region without members.
  if (entries.members == 0)
    return others.usable;
  // With more, some entries would stand in for several failure domains, and
  // others for none.
  const std::size_t even_share =
      position.PartStart(others.usable, 1) - position.PartStart(others.usable);
  const std::size_t fair_share = CountFairShare(entries, others);
  // If no entry is left, the callers of those that stop or start are without
  // one as well.
  const std::size_t lacking =
      entries.usable == 0 ? even_share
                          : fair_share - std::min(fair_share, entries.usable);
  const std::size_t least =
      kMinEntriesInRegion - std::min(kMinEntriesInRegion, entries.usable);
  return std::min(others.usable,
                  std::max(least, std::min(lacking, even_share)));
}

}  // namespace

std::vector<const EntryStatus*> NearestEntries(const SteeringSnapshot& snapshot,
                                               std::string_view region,
                                               std::string_view failure_domain,
                                               std::size_t limit,
                                               RegionRule rule) {
  std::vector<const EntryStatus*> available = UsableEntries(snapshot);
  const auto is_own = [&](const std::string& other) { return other == region; };
  RegionEntries entries = CountEntries(snapshot, available, rule, is_own);
  RegionEntries other_entries =
      CountEntries(snapshot, available, rule, std::not_fn(is_own));
  DropIsolated(snapshot, available);
  std::vector<const EntryStatus*> chosen;
  std::vector<const EntryStatus*> in_region;
  std::vector<const EntryStatus*> others;
  for (const EntryStatus* entry : available) {
    if (entry->region != region)
      others.push_back(entry);
    else if (entry->failure_domain == failure_domain)
      chosen.push_back(entry);
    else
      in_region.push_back(entry);
  }
  entries.usable = chosen.size() + in_region.size();
  const bool suffices = RegionSuffices(entries);
  if (suffices && entries.usable <= limit) {
    chosen.insert(chosen.end(), in_region.begin(), in_region.end());
    return chosen;
  }
  const DomainPosition position = PositionOf(snapshot, region, failure_domain);
  SpreadOver(position, in_region);
  chosen.insert(chosen.end(), in_region.begin(), in_region.end());
  if (!suffices) {
    SpreadOver(position, others);
    other_entries.usable = others.size();
    others.resize(CountStandIns(entries, other_entries, position));
    chosen.insert(chosen.end(), others.begin(), others.end());
  }
  if (chosen.size() > limit)
    chosen.resize(limit);
  return chosen;
}

}  // namespace jacinth::steering
