#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/forwarding/load_report.h"

namespace jacinth::forwarding {

/// Estimates the number of requests at an endpoint, running or queued, from the
/// endpoint's load reports and the requests that this entry has sent to it.
class EndpointLoad {
 public:
  void OnSend() { ++own_; }

  /// Records the end of a request. `report` is the load report that came with
  /// the answer; it no longer counts that request.
  void OnEnd(const std::optional<LoadReport>& report, Time now);

  /// Returns the number of requests that this entry has at the endpoint.
  int own() const { return own_; }

  /// Returns the estimated number of requests at the endpoint, including those
  /// of this entry.
  double Total(Time now) const;

  /// Returns the age of the endpoint's last load report.
  Duration ReportAge(Time now) const { return now - others_at_; }

  /// Returns true once the endpoint has sent a load report.
  bool is_told() const { return told_; }

 private:
  int own_ = 0;
  bool told_ = false;
  /// Requests of other entries at the time of the last load report.
  double others_ = 0;
  Time others_at_{};
};

}  // namespace jacinth::forwarding
