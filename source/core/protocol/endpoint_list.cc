#include "core/protocol/endpoint_list.h"

#include <algorithm>

namespace jacinth::protocol {

std::vector<DrainReport> ListedDrains(
    const std::vector<ListedEndpoint>& endpoints) {
  std::vector<DrainReport> drains;
  for (const ListedEndpoint& endpoint : endpoints) {
    if (!endpoint.draining || endpoint.started_ms == 0)
      continue;
    drains.push_back({endpoint.id, endpoint.address, endpoint.started_ms});
  }
  return drains;
}

LastProcesses::LastProcesses(const std::vector<ListedEndpoint>& endpoints) {
  for (const ListedEndpoint& endpoint : endpoints) {
    std::int64_t& last = starts_[{endpoint.id, endpoint.service}];
    last = std::max(last, endpoint.started_ms);
  }
}

bool LastProcesses::IsFollowed(const ListedEndpoint& endpoint) const {
  const auto last = starts_.find({endpoint.id, endpoint.service});
  return last != starts_.end() && endpoint.started_ms < last->second;
}

}  // namespace jacinth::protocol
