#include "core/log/line_budget.h"

#include <algorithm>
#include <utility>

namespace jacinth::log {
namespace {

/// Allows a few lines per request at the request rate that a small entry
/// instance can handle.
constexpr double kLinesPerSecond = 400;
constexpr double kMaxBurst = 2'000;

}  // namespace

std::optional<std::uint64_t> LineBudget::Admit(Time now) {
  const std::chrono::duration<double> elapsed = now - refilled_;
  refilled_ = now;
  lines_ = std::min(kMaxBurst, lines_ + elapsed.count() * kLinesPerSecond);
  if (lines_ < 1) {
    ++left_out_;
    return std::nullopt;
  }
  lines_ -= 1;
  return std::exchange(left_out_, 0);
}

}  // namespace jacinth::log
