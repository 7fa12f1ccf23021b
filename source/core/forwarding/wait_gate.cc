#include "core/forwarding/wait_gate.h"

#include <algorithm>

namespace jacinth::forwarding {
namespace {

/// Time after the end of a wait in which requests return gradually: a few times
/// the duration of a request, whose answer tells the endpoint's load.
constexpr Duration kReturnTime = 2s;

}  // namespace

bool WaitGate::OnAsked(Duration wait, Time now) {
  if (wait <= Duration{0} || now + wait <= until_)
    return false;
  until_ = now + wait;
  return true;
}

std::optional<int> WaitGate::MaxRequests(int slots, Time now) const {
  if (IsWaiting(now))
    return 0;
  if (until_ == Time{} || now >= until_ + kReturnTime)
    return std::nullopt;
  const auto returned = static_cast<int>((now - until_) * slots / kReturnTime);
  return 1 + std::min(slots, returned);
}

}  // namespace jacinth::forwarding
