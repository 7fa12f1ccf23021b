#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

#include "core/common/time.h"
#include "core/control/control_actions.h"
#include "core/control/control_event.h"
#include "core/log/record.h"

namespace jacinth {

/// Explains why a replica sent its heartbeats late: measures the steps of its
/// node, and what they took between two ticks. Not thread-safe.
class StepMonitor {
 public:
  /// Records a step that decided what to do until `decided` and had done it at
  /// `now`. Returns a log record if it was slow.
  std::optional<log::Record> OnStep(const control::ControlEvent& event,
                                    const control::ControlActions& actions,
                                    Time started,
                                    Time decided,
                                    Time now);

  /// Records a tick that was due at `due`. Returns a log record of the steps
  /// before it if it is late.
  std::optional<log::Record> OnTick(Time due, Time now);

  /// Records that `waiting` messages of entries wait, the next one since
  /// `oldest`. Returns a log record if that is long, at most once per second.
  std::optional<log::Record> OnBacklog(Time oldest,
                                       std::size_t waiting,
                                       Time now);

 private:
  struct Total {
    std::size_t count = 0;
    Duration time{0};
    /// The part of `time` until it was decided what to do.
    Duration decision_time{0};
  };

  /// By the index of the event's type, since the last tick.
  std::array<Total, std::variant_size_v<control::ControlEvent>> totals_;
  /// Messages handled since the last record of waiting entries, and when that
  /// was due.
  Total messages_;
  Time next_backlog_record_{};
};

}  // namespace jacinth
