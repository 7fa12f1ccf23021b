#include "core/forwarding/endpoint_load.h"

#include <algorithm>

namespace jacinth::forwarding {
namespace {

/// Age at which a load report no longer counts for the requests of other
/// entries. Until then its weight falls linearly.
constexpr Duration kReportLife = 4s;

}  // namespace

void EndpointLoad::OnEnd(const std::optional<LoadReport>& report, Time now) {
  --own_;
  if (!report)
    return;
  told_ = true;
  others_ = std::max(0, report->running + report->waiting - own_);
  others_at_ = now;
}

double EndpointLoad::Total(Time now) const {
  const auto age = static_cast<double>((now - others_at_).count());
  const auto life = static_cast<double>(kReportLife.count());
  return own_ + others_ * std::max(0.0, 1 - age / life);
}

}  // namespace jacinth::forwarding
