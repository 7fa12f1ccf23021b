#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/forwarding/load_report.h"

namespace jacinth::forwarding {

/// Estimates the number of requests at an endpoint, running or queued, from the
/// endpoint's load reports and the requests that this entry has sent to it.
class EndpointLoad {
 public:
  void OnRequestSent() { ++own_requests_; }

  /// Records the end of a request. `report` is the load report in the answer,
  /// which no longer counts that request; empty if there was none.
  void OnRequestEnd(const std::optional<LoadReport>& report, Time now);

  /// Returns the number of requests that this entry has at the endpoint.
  int own_requests() const { return own_requests_; }

  /// Returns the estimated number of requests at the endpoint, including those
  /// of this entry.
  double TotalRequests(Time now) const;

  /// Returns the age of the endpoint's last load report.
  Duration ReportAge(Time now) const { return now - reported_at_; }

  /// Returns true once the endpoint has sent a load report.
  bool has_report() const { return has_report_; }

 private:
  int own_requests_ = 0;
  bool has_report_ = false;
  /// Requests of other entries at the time of the last load report.
  double other_requests_ = 0;
  Time reported_at_{};
};

}  // namespace jacinth::forwarding
