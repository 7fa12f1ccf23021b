#pragma once

#include "core/common/time.h"

namespace jacinth::entry {

/// Times of a planned stop, which is requested at `requested`.
///
/// Callers that use earlier look-up answers are served at first; later ones are
/// refused. What is then under way has until `exchanges_end`, so that the
/// remaining time suffices for writing the answers.
struct StopSchedule {
  Time requested{};
  /// Requests that arrive from here on are refused.
  Time intake_end{};
  /// Requests that are still under way are answered with an error.
  Time exchanges_end{};
  /// The process ends, even if callers are still receiving answers.
  Time end{};

  /// Returns the times of a stop for which the platform allows `grace`, or zero
  /// if it names no limit: then requests have `drain_limit` after the intake.
  /// `announce_time` is the time until callers use new look-up answers.
  static StopSchedule Create(Time requested,
                             Duration announce_time,
                             Duration grace,
                             Duration drain_limit);

  /// Deadline for endpoints at work, which leaves time for their refusal or
  /// answer to arrive before `exchanges_end`.
  Time EndpointDeadline() const;
};

}  // namespace jacinth::entry
