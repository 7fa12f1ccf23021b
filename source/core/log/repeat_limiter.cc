#include "core/log/repeat_limiter.h"

#include "core/common/hash.h"

namespace jacinth::log {
namespace {

constexpr Duration kRepeatWindow = 1s;
constexpr std::size_t kMaxTrackedLines = 1'024;

}  // namespace

std::optional<std::size_t> RepeatLimiter::Admit(std::string_view line,
                                                Time now) {
  // Bounds the memory. Lines seen before are then written once more.
  if (tracked_lines_.size() >= kMaxTrackedLines)
    tracked_lines_.clear();
  const auto [iterator, inserted] = tracked_lines_.try_emplace(Hash64(line));
  TrackedLine& tracked_line = iterator->second;
  if (!inserted && now < tracked_line.last_written + kRepeatWindow) {
    ++tracked_line.suppressed;
    return std::nullopt;
  }
  const std::size_t suppressed = tracked_line.suppressed;
  tracked_line = {now, 0};
  return suppressed;
}

}  // namespace jacinth::log
