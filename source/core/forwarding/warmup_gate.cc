#include "core/forwarding/warmup_gate.h"

#include <algorithm>
#include <utility>

namespace jacinth::forwarding {
namespace {

constexpr Duration kInterval = 1200ms;
/// Fraction of the rate limit that is used. The rest covers entries that have
/// restarted and lost the times of their last requests.
constexpr double kUsedRateFraction = 0.9;

}  // namespace

WarmupGate::WarmupGate(SenderHistory senders, double per_second)
    : senders_(std::move(senders)),
      max_senders_(static_cast<std::size_t>(
          std::max(1.0, per_second * kUsedRateFraction))) {}

bool WarmupGate::CanSendTo(const std::string& name, Time now) const {
  return senders_.IsSelected(name, max_senders_, now);
}

Duration WarmupGate::interval() {
  return kInterval;
}

}  // namespace jacinth::forwarding
