#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace jacinth::log {

/// Limits the lines written per second and allows short bursts (token bucket).
class LineRateLimiter {
 public:
  /// Admits one line if the limit allows it and returns how many lines were
  /// dropped since the last admitted one. Returns nullopt if this line is to be
  /// dropped.
  std::optional<std::uint64_t> Admit(Time now);

 private:
  Time last_refill_{};
  double available_lines_ = 0;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace jacinth::log
