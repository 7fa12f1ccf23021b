#include "core/admission/return_schedule.h"

#include <algorithm>
#include <chrono>

namespace jacinth::admission {
namespace {

/// Part of the rate that is left to returning callers.
constexpr double kReturningPart = 0.5;
/// Lowest rate assumed, in requests per second.
constexpr double kMinRate = 0.1;

}  // namespace

Duration ReturnSchedule::Next(Time now,
                              double per_second,
                              Duration shortest,
                              Duration longest) {
  const Time planned = std::max(next_return_, now + shortest);
  if (planned - now >= longest)
    return std::max(shortest, longest);
  const std::chrono::duration<double> spacing(
      1 / (std::max(per_second, kMinRate) * kReturningPart));
  next_return_ = planned + std::chrono::duration_cast<Duration>(spacing);
  return planned - now;
}

}  // namespace jacinth::admission
