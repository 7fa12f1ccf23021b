#pragma once

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Tells that the rate limits of all endpoints of a service are used up.
struct RateBlock {
  /// Time at which the next request can be sent.
  Time until{};
  /// Requests per second that this entry can send to all endpoints together.
  double per_second = 0;
};

}  // namespace jacinth::forwarding
