#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "core/common/time.h"

namespace jacinth::log {

/// Suppresses repetitions of a line within a second after it was written.
class RepeatLimiter {
 public:
  /// Returns how many repetitions of `line` were suppressed since it was last
  /// written, or nullopt if this one is to be suppressed too.
  std::optional<std::size_t> Admit(std::string_view line, Time now);

 private:
  struct TrackedLine {
    Time last_written{};
    std::size_t suppressed = 0;
  };

  /// Keyed by the hash of the line.
  std::map<std::uint64_t, TrackedLine> tracked_lines_;
};

}  // namespace jacinth::log
