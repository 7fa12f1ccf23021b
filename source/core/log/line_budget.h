#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace jacinth::log {

/// Bounds the lines written a second, with room for a burst.
class LineBudget {
 public:
  /// Takes one line out of the budget. Nothing if it is used up; otherwise the
  /// lines left out since the last one that was admitted.
  std::optional<std::uint64_t> Admit(Time now);

 private:
  Time refilled_{};
  double lines_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace jacinth::log
