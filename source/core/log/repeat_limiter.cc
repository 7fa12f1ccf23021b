#include "core/log/repeat_limiter.h"

#include "core/common/hash.h"

namespace jacinth::log {
namespace {

constexpr Duration kWindow = 1s;
constexpr std::size_t kMaxRows = 1'024;

}  // namespace

std::optional<std::size_t> RepeatLimiter::Admit(std::string_view line,
                                                Time now) {
  // Bounds the memory. Lines seen before are then written once more.
  if (rows_.size() >= kMaxRows)
    rows_.clear();
  const auto [found, added] = rows_.try_emplace(Hash64(line));
  Row& row = found->second;
  if (!added && now < row.written + kWindow) {
    ++row.suppressed;
    return std::nullopt;
  }
  const std::size_t suppressed = row.suppressed;
  row = {now, 0};
  return suppressed;
}

}  // namespace jacinth::log
