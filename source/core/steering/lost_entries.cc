#include "core/steering/lost_entries.h"

#include <utility>

namespace jacinth::steering {

void LostEntries::Update(const std::vector<protocol::EntryStatus>& members) {
  std::map<std::string, std::string> vanished = std::exchange(serving_, {});
  for (const protocol::EntryStatus& member : members) {
    if (member.draining) {
      vanished.erase(member.id);
      regions_.erase(member.id);
      continue;
    }
    if (member.starting)
      continue;
    vanished.erase(member.id);
    regions_.erase(member.id);
    serving_.emplace(member.id, member.region);
  }
  regions_.merge(vanished);
}

}  // namespace jacinth::steering
