#pragma once

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Measures how many requests per second an entry has for an endpoint, whether
/// or not they can be sent.
class DemandMeter {
 public:
  /// Counts a request, or part of one that has several possible endpoints.
  void Count(double requests) { requests_ += requests; }

  /// Returns the moving average of the rate, in requests per second, and starts
  /// the next period. Must be called about once per second.
  double TakeRate(Time now);

  bool has_requests() const { return requests_ > 0; }

 private:
  double requests_ = 0;
  double rate_ = 0;
  Time period_start_{};
};

}  // namespace jacinth::forwarding
