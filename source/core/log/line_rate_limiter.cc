#include "core/log/line_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace jacinth::log {
namespace {

/// Allows a few lines per request at the request rate that a small entry
/// instance can handle.
constexpr double kLinesPerSecond = 400;
constexpr double kMaxBurstLines = 2'000;

}  // namespace

std::optional<std::uint64_t> LineRateLimiter::Admit(Time now) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  available_lines_ = std::min(
      kMaxBurstLines, available_lines_ + elapsed.count() * kLinesPerSecond);
  if (available_lines_ < 1) {
    ++dropped_lines_;
    return std::nullopt;
  }
  available_lines_ -= 1;
  return std::exchange(dropped_lines_, 0);
}

}  // namespace jacinth::log
