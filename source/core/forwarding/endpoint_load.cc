#include "core/forwarding/endpoint_load.h"

#include <algorithm>

namespace jacinth::forwarding {
namespace {

/// Age at which a load report no longer counts for the requests of other
/// entries. Until then its weight falls linearly.
constexpr Duration kReportLifetime = 4s;

}  // namespace

void EndpointLoad::OnRequestEnd(const std::optional<LoadReport>& report,
                                Time now) {
  --own_requests_;
  if (!report)
    return;
  has_report_ = true;
  other_requests_ =
      std::max(0, report->running + report->waiting - own_requests_);
  reported_at_ = now;
}

double EndpointLoad::TotalRequests(Time now) const {
  const auto age = static_cast<double>((now - reported_at_).count());
  const auto lifetime = static_cast<double>(kReportLifetime.count());
  return own_requests_ + other_requests_ * std::max(0.0, 1 - age / lifetime);
}

}  // namespace jacinth::forwarding
