#include "core/forwarding/demand_meter.h"

#include <chrono>
#include <cmath>

namespace jacinth::forwarding {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the average: a few intervals between reports, so that the
/// rate of an entry with few requests is stable.
constexpr Seconds kTimeConstant{1.5};

}  // namespace

void DemandMeter::Count(double requests, Time now) {
  rate_ = Rate(now) + requests / kTimeConstant.count();
  updated_ = now;
}

double DemandMeter::Rate(Time now) const {
  return rate_ * std::exp(-Seconds(now - updated_) / kTimeConstant);
}

}  // namespace jacinth::forwarding
