#include "core/forwarding/warmup_gate.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

constexpr Duration kInterval = 1200ms;
/// Fraction of the rate limit that is used. The rest covers entries that have
/// restarted and lost the times of their last requests.
constexpr double kUsedRateFraction = 0.9;

}  // namespace

WarmupGate::WarmupGate(std::string self,
                       std::vector<std::string> entries,
                       double per_second)
    : self_(std::move(self)),
      entries_(std::move(entries)),
      max_senders_(static_cast<std::size_t>(
          std::max(1.0, per_second * kUsedRateFraction))) {}

bool WarmupGate::CanSendTo(const std::string& name) const {
  if (entries_.size() <= max_senders_)
    return true;
  const std::uint64_t seed = Hash64(name);
  const std::uint64_t own_hash = Hash64(self_, seed);
  const auto entries_ahead = std::count_if(
      entries_.begin(), entries_.end(),
      [&](const std::string& entry) { return Hash64(entry, seed) > own_hash; });
  return static_cast<std::size_t>(entries_ahead) < max_senders_;
}

Duration WarmupGate::interval() {
  return kInterval;
}

}  // namespace jacinth::forwarding
