#pragma once

#include <string>
#include <vector>

#include "core/common/execution.h"
#include "core/common/rank.h"
#include "core/common/time.h"

namespace jacinth::settings {

/// One kind of request of a service.
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
  /// Time within which an answer is worth most; zero if none is stated.
  Duration objective{0};
  /// Requests for one object prefer one endpoint.
  bool affinity = false;
  /// Regions that may serve the requests; empty for all.
  std::vector<std::string> regions;

  bool repeatable() const { return execution == Execution::kRepeatable; }
};

}  // namespace jacinth::settings
