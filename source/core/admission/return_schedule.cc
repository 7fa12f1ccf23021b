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
                              Rank rank,
                              double per_second,
                              Duration shortest,
                              Duration longest) {
  const Time planned = std::max(next_returns_[RankIndex(rank)], now + shortest);
  if (planned - now >= longest)
    return std::max(shortest, longest);
  const auto spacing =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          1 / (std::max(per_second, kMinRate) * kReturningPart)));
  // Less urgent callers that are refused later make room for this one.
  for (std::size_t i = RankIndex(rank); i < kRankCount; ++i)
    next_returns_[i] = std::max(next_returns_[i], planned) + spacing;
  return planned - now;
}

}  // namespace jacinth::admission
