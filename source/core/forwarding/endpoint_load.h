#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/forwarding/load_report.h"

namespace jacinth::forwarding {

/// Estimates how many requests are at an endpoint, running or waiting there,
/// from its own reports and what this entry has sent it.
class EndpointLoad {
 public:
  void OnSend() { ++own_; }

  /// A request has left the endpoint; `report` is what the endpoint told with
  /// its answer, which no longer counts that request.
  void OnEnd(const std::optional<LoadReport>& report, Time now);

  /// Requests that this entry has at the endpoint.
  int own() const { return own_; }

  /// Estimated requests at the endpoint, this entry's included.
  double Total(Time now) const;

  /// Age of what the endpoint last told.
  Duration ReportAge(Time now) const { return now - others_at_; }

  /// True once the endpoint has told its load.
  bool is_told() const { return told_; }

 private:
  int own_ = 0;
  bool told_ = false;
  /// Requests of other entries when the endpoint last told.
  double others_ = 0;
  Time others_at_{};
};

}  // namespace jacinth::forwarding
