#include "core/protocol/rate_limit.h"

#include <map>
#include <utility>

namespace jacinth::protocol {

bool ApplyRateShares(const RateShareUpdate& update, RateShareUpdate& held) {
  if (update.version <= held.version || update.base > held.version)
    return false;
  if (update.base == 0) {
    held = update;
    return true;
  }
  std::map<EndpointKey, RateShare> shares;
  for (RateShare& share : held.shares)
    shares[share.key] = std::move(share);
  for (const EndpointKey& key : update.removed)
    shares.erase(key);
  for (const RateShare& share : update.shares)
    shares[share.key] = share;
  held = {};
  held.version = update.version;
  held.shares.reserve(shares.size());
  for (auto& [key, share] : shares)
    held.shares.push_back(std::move(share));
  return true;
}

}  // namespace jacinth::protocol
