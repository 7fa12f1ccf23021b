#include "core/forwarding/rate_gate.h"

#include <algorithm>
#include <chrono>

namespace jacinth::forwarding {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time over which requests that were not sent may be made up for, beyond the
/// one request that a gate always holds.
constexpr Seconds kBurstTime{0.5};
/// Longest time that NextAllowed() looks ahead.
constexpr Seconds kMaxLookAhead{3'600};

}  // namespace

void RateGate::SetRate(std::optional<double> per_second, Time now) {
  tokens_ = per_second_ ? TokensAt(now) : 0;
  updated_ = now;
  per_second_ = per_second;
  tokens_ = TokensAt(now);
}

bool RateGate::Allows(Time now) const {
  return !per_second_ || TokensAt(now) >= 1;
}

Time RateGate::NextAllowed(Time now) const {
  if (Allows(now))
    return now;
  if (*per_second_ <= 0)
    return Time::max();
  const Seconds wait((1 - TokensAt(now)) / *per_second_);
  // Rounded up, so that the gate allows a request at the returned time.
  return now + std::chrono::ceil<std::chrono::milliseconds>(
                   std::min(wait, kMaxLookAhead));
}

void RateGate::OnSent(Time now) {
  if (!per_second_)
    return;
  tokens_ = TokensAt(now) - 1;
  updated_ = now;
}

double RateGate::TokensAt(Time now) const {
  if (!per_second_)
    return 0;
  const double gained = *per_second_ * Seconds(now - updated_).count();
  return std::min(tokens_ + gained, 1 + *per_second_ * kBurstTime.count());
}

}  // namespace jacinth::forwarding
