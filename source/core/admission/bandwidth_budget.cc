#include "core/admission/bandwidth_budget.h"

#include <algorithm>
#include <chrono>

namespace jacinth::admission {
namespace {

using Seconds = std::chrono::duration<double>;

/// Part of the bandwidth for requests and answers; the rest is for heartbeats,
/// look-ups, probes and packets that are sent again.
constexpr double kUsablePart = 0.9;
/// Time that the bytes of a burst may take at the link.
constexpr Seconds kBurstTime{0.25};
/// Time that the bytes of urgent requests may take beyond that.
constexpr Seconds kUrgentOverdraft{0.25};
/// Longest time for which counted bytes keep out requests. A longer message
/// shares the link with others while it is under way.
constexpr Seconds kMaxDebt{1};

}  // namespace

BandwidthBudget::BandwidthBudget(double bytes_per_second)
    : bytes_per_second_(bytes_per_second * kUsablePart),
      tokens_(bytes_per_second_ * kBurstTime.count()) {}

bool BandwidthBudget::Allows(Rank rank, Time now) const {
  if (bytes_per_second_ <= 0)
    return true;
  const double overdraft =
      rank == Rank::kUrgent ? bytes_per_second_ * kUrgentOverdraft.count() : 0;
  return TokensAt(now) + overdraft > 0;
}

void BandwidthBudget::Count(double bytes, Time now) {
  tokens_ =
      std::max(TokensAt(now) - bytes, -bytes_per_second_ * kMaxDebt.count());
  updated_ = now;
}

double BandwidthBudget::TokensAt(Time now) const {
  const double gained = bytes_per_second_ * Seconds(now - updated_).count();
  return std::min(tokens_ + gained, bytes_per_second_ * kBurstTime.count());
}

}  // namespace jacinth::admission
