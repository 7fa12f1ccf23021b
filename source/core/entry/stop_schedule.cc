#include "core/entry/stop_schedule.h"

#include <algorithm>

namespace jacinth::entry {
namespace {

/// Longest intake of a stop with a limited time. The platform lets a stopping
/// process give up requests that are sent in the first 3 s and are still at
/// work near the end, but none that come later. Half a second of it allows for
/// a signal that is handled late.
constexpr Duration kMaxIntake = 2'500ms;
/// Part of the platform's limit for the intake.
constexpr int kIntakeDivisor = 2;
/// Parts of the platform's limit, in percent, at which exchanges and the
/// process end. Both lie in its last sixth, in which requests may be given up.
constexpr int kExchangesPercent = 90;
constexpr int kEndPercent = 95;
constexpr int kPercent = 100;
/// Time for writing the answers if the platform names no limit.
constexpr Duration kWriteTime = 500ms;
/// Time for an answer to come from an endpoint in another region.
constexpr Duration kAnswerDelay = 150ms;

}  // namespace

StopSchedule StopSchedule::Create(Time requested,
                                  Duration announce_time,
                                  Duration grace,
                                  Duration drain_limit) {
  StopSchedule schedule;
  schedule.requested = requested;
  if (grace <= Duration{0}) {
    schedule.intake_end = requested + announce_time;
    schedule.exchanges_end = schedule.intake_end + drain_limit;
    schedule.end = schedule.exchanges_end + kWriteTime;
    return schedule;
  }
  schedule.intake_end =
      requested + std::min({announce_time, kMaxIntake, grace / kIntakeDivisor});
  schedule.exchanges_end = requested + grace * kExchangesPercent / kPercent;
  schedule.end = requested + grace * kEndPercent / kPercent;
  return schedule;
}

Time StopSchedule::EndpointDeadline() const {
  return std::max(intake_end, exchanges_end - kAnswerDelay);
}

}  // namespace jacinth::entry
