#pragma once

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Measures how many requests per second there are, as an exponentially
/// weighted moving average over time.
class DemandMeter {
 public:
  /// Counts a request, or part of one that has several possible endpoints.
  void Count(double requests, Time now);

  /// Returns the average rate in requests per second.
  double Rate(Time now) const;

 private:
  double rate_ = 0;
  Time updated_{};
};

}  // namespace jacinth::forwarding
