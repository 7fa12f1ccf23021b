#include "core/forwarding/demand_meter.h"

#include <algorithm>
#include <chrono>

namespace jacinth::forwarding {
namespace {

/// Weight of the last period in the moving average.
constexpr double kSmoothingFactor = 0.5;
/// Shortest period assumed, so that a request just after the last call doesn't
/// look like a high rate.
constexpr double kMinPeriodSeconds = 0.5;

}  // namespace

double DemandMeter::TakeRate(Time now) {
  const bool is_first = period_start_ == Time{};
  const double elapsed =
      is_first
          ? 1
          : std::max(
                kMinPeriodSeconds,
                std::chrono::duration<double>(now - period_start_).count());
  const double current = requests_ / elapsed;
  rate_ = is_first ? current : rate_ + (current - rate_) * kSmoothingFactor;
  requests_ = 0;
  period_start_ = now;
  return rate_;
}

}  // namespace jacinth::forwarding
