#include "core/protocol/endpoint_list.h"

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

}  // namespace jacinth::protocol
