#pragma once

#include "core/common/time.h"

namespace jacinth::settings {

/// Bounds that all instances together must keep, as far as the interface states
/// them. Each entry takes its part by the number of live entries.
struct FleetLimits {
  /// Retries allowed as a share of requests over `retry_window`, and beyond it.
  double retry_ratio = 0;
  int retry_reserve = 0;
  Duration retry_window{10s};
  /// True if a request that an endpoint refused counts as a retry when it is
  /// sent to another.
  bool refusals_are_retries = false;
  /// What a cold endpoint bears in a second: its rate times the factor, and the
  /// slack.
  double warmup_factor = 1;
  int warmup_slack = 0;
  /// Longest time for which callers keep an answer to a look-up; zero for no
  /// bound.
  Duration max_lookup_ttl{0};
};

}  // namespace jacinth::settings
