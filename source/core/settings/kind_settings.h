#pragma once

#include <string>

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
  bool repeatable = false;
  Duration request_timeout{0};
  Duration attempt_timeout{0};
  int max_attempts = 1;
  int queue_limit = 0;
  int concurrency_limit = 0;
};

}  // namespace jacinth::settings
