#include "core/steering/absent_entries.h"

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

}  // namespace

void AbsentEntries::Update(const std::vector<protocol::EntryStatus>& members,
                           Time now) {
  std::map<std::string, std::string> vanished = std::exchange(serving_, {});
  std::map<std::string, std::string> stopped = std::exchange(stopping_, {});
  for (const protocol::EntryStatus& member : members) {
    if (!member.draining && member.starting)
      continue;
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
