#pragma once

#include <string>
#include <vector>

#include "core/common/execution.h"
#include "core/common/rank.h"
#include "core/common/time.h"

namespace jacinth::settings {

/// Settings of one kind of requests of a service, or of the requests of a
/// route. Fields without a comment are described under the same key in
/// tree_table.cc.
struct KindSettings {
  std::string name;
  std::string path_prefix;
  /// Empty for any method.
  std::string method;
  Rank rank = Rank::kNormal;
  Execution execution = Execution::kAtMostOnce;
  Duration request_timeout{0};
  Duration attempt_timeout{0};
  int max_attempts = 1;
  int queue_limit = 0;
  int concurrency_limit = 0;
  /// Target latency of answers; zero if none is set.
  Duration objective{0};
  /// True if requests for the same object are preferably sent to the same
  /// endpoint.
  bool affinity = false;
  /// Regions whose endpoints are allowed to serve the requests; empty for all.
  std::vector<std::string> regions;

  bool repeatable() const { return execution == Execution::kRepeatable; }

  bool operator==(const KindSettings&) const = default;
};

}  // namespace jacinth::settings
