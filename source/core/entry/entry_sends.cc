#include <algorithm>
#include <string>
#include <vector>

#include "core/entry/allowed_regions.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {

bool EntryNode::MaySend(RequestTicket ticket) const {
  const auto found = requests_.find(ticket);
  if (found == requests_.end())
    return false;
  const RequestRecord& record = found->second;
  if (!record.relay_entry.empty()) {
    return record.relay_decision == DecisionOn(record.arrival) &&
           MayHandOverTo(record.relay_entry, HandOverRegions(record));
  }
  if (HasMoved(record))
    return false;
  const forwarding::EndpointTable& endpoints =
      services_.at(record.service).endpoints;
  const settings::EndpointSettings* endpoint = endpoints.Find(record.endpoint);
  return endpoint != nullptr && !endpoint->drained &&
         endpoints.ProcessOf(record.endpoint) == record.process &&
         IsAllowedRegion(AllowedRegions(record), endpoint->region);
}

// Returns the regions whose entries the request may be handed to: those of its
// route by the settings in force, by which the other entry decides, even if it
// leads to other services by now.
const std::vector<std::string>& EntryNode::HandOverRegions(
    const RequestRecord& record) const {
  if (record.revision == session_.fleet()->revision)
    return record.kind.regions;
  const settings::RouteSettings* route = RouteOf(record);
  return route == nullptr ? record.kind.regions : route->kind.regions;
}

// Returns true if the entry is still listed, isn't drained, and is in one of
// the regions.
bool EntryNode::MayHandOverTo(const std::string& id,
                              const std::vector<std::string>& regions) const {
  const std::vector<protocol::EntryStatus>& members = session_.members();
  const auto entry = std::find_if(
      members.begin(), members.end(),
      [&](const protocol::EntryStatus& member) { return member.id == id; });
  return entry != members.end() && !entry->draining &&
         session_.fleet()->drained_entries.count(id) == 0 &&
         IsAllowedRegion(regions, entry->region);
}

}  // namespace jacinth::entry
