#pragma once

#include "core/common/time.h"

namespace jacinth::settings {

/// Limits that apply to the sum over all instances, as far as the interface
/// defines them. Each entry enforces its part, based on the number of live
/// entries.
struct FleetLimits {
  /// Retries allowed within `retry_window`: `retry_ratio` times the number of
  /// requests in the window, plus `retry_reserve`.
  double retry_ratio = 0;
  int retry_reserve = 0;
  Duration retry_window{10s};
  /// True if sending a refused request to another endpoint counts as a retry.
  bool count_refusals_as_retries = false;
  /// Requests per second allowed to a cold endpoint: `warmup_factor` times the
  /// warm-up rate of its service, plus `warmup_slack`.
  double warmup_factor = 1;
  int warmup_slack = 0;
  /// Maximum time for which callers cache a look-up answer; zero for no limit.
  Duration max_lookup_ttl{0};
  /// Time after which the platform ends a process that it has asked to stop;
  /// zero if it doesn't say.
  Duration stop_grace{0};
  /// Time after the acknowledgement of a change by which each instance must
  /// apply it; zero if the interface states none.
  Duration settings_bound{0};
};

}  // namespace jacinth::settings
