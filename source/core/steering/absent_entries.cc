#include "core/steering/absent_entries.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace jacinth::steering {
namespace {

/// Time for which an entry counts as lost. Callers may leave their region for a
/// lost entry; routes with regions bind them again some time after a failure,
/// and they use their answers for a few seconds more.
constexpr Duration kMaxLostTime = 7s;
/// Time after which the region of an absent entry is taken to be smaller by
/// intent.
constexpr Duration kMaxGoneTime = 60s;

/// Percentage of the fleet that planned work doesn't restart at once.
constexpr std::size_t kMinRestartedPercent = 75;

bool IsStarting(const protocol::EntryStatus& member) {
  return member.starting && !member.draining;
}

// Returns true if the whole fleet must have failed. A control role that has
// failed as well knows nothing of what was before.
bool HasFleetRestarted(const std::vector<protocol::EntryStatus>& members) {
  const auto starting = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), IsStarting));
  return starting * 100 >= members.size() * kMinRestartedPercent;
}

}  // namespace

void AbsentEntries::Update(const std::vector<protocol::EntryStatus>& members,
                           Time now) {
  std::map<std::string, std::string> vanished = std::exchange(serving_, {});
  std::map<std::string, std::string> stopped = std::exchange(stopping_, {});
  const bool fleet_restarted = HasFleetRestarted(members);
  for (const protocol::EntryStatus& member : members) {
    if (IsStarting(member)) {
      if (fleet_restarted || member.lost) {
        entries_.try_emplace(member.id,
                             AbsentEntry{member.region, Absence::kLost, now});
      }
      continue;
    }
    vanished.erase(member.id);
    stopped.erase(member.id);
    entries_.erase(member.id);
    auto& regions = member.draining ? stopping_ : serving_;
    regions.emplace(member.id, member.region);
  }
  for (const auto& [id, region] : vanished)
    entries_.try_emplace(id, AbsentEntry{region, Absence::kLost, now});
  for (const auto& [id, region] : stopped)
    entries_.try_emplace(id, AbsentEntry{region, Absence::kGone, now});
}

bool AbsentEntries::Expire(Time now) {
  bool changed = false;
  for (auto& [id, entry] : entries_) {
    if (entry.absence != Absence::kLost || now < entry.since + kMaxLostTime)
      continue;
    entry = {entry.region, Absence::kGone, now};
    changed = true;
  }
  const auto forgotten = std::erase_if(entries_, [&](const auto& entry) {
    return entry.second.absence == Absence::kGone &&
           now >= entry.second.since + kMaxGoneTime;
  });
  return changed || forgotten > 0;
}

}  // namespace jacinth::steering
