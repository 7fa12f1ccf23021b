#include "jacinthroute/step_monitor.h"

#include <string>
#include <utility>
#include <variant>

namespace jacinth {
namespace {

/// Durations from which a step and the delay of a tick are logged: while they
/// last, the replica sends no heartbeats, which are due every 120 ms.
constexpr Duration kSlowStep = 100ms;
constexpr Duration kLateTick = 100ms;
/// Wait of a message of an entry from which it is logged, and the shortest time
/// between two such records.
constexpr Duration kLongWait = 250ms;
constexpr Duration kBacklogRecordInterval = 1s;

log::Record MakeRecord(std::string_view event) {
  return {log::Level::kInfo, log::Category::kControl, event, {}};
}

std::size_t CountReceivers(const control::ControlActions& actions) {
  std::size_t receivers = actions.messages.size();
  for (const control::Broadcast& broadcast : actions.broadcasts)
    receivers += broadcast.to_instances.size();
  return receivers;
}

}  // namespace

std::optional<log::Record> StepMonitor::OnStep(
    const control::ControlEvent& event,
    const control::ControlActions& actions,
    Time started,
    Time decided,
    Time now) {
  const Duration took = now - started;
  Total& total = totals_.at(event.index());
  ++total.count;
  total.time += took;
  if (std::holds_alternative<control::MessageReceived>(event)) {
    ++messages_.count;
    messages_.time += took;
    messages_.decision_time += decided - started;
  }
  if (took < kSlowStep)
    return std::nullopt;
  log::Record record = MakeRecord("step_was_slow");
  record.With("step", control::ControlEventName(event))
      .With("took_ms", ToMillis(took))
      .With("decided_ms", ToMillis(decided - started))
      .With("messages", actions.messages.size())
      .With("broadcasts", actions.broadcasts.size())
      .With("receivers", CountReceivers(actions))
      .With("writes", actions.writes.size())
      .With("records", actions.log_records.size());
  return record;
}

std::optional<log::Record> StepMonitor::OnTick(Time due, Time now) {
  const auto totals = std::exchange(totals_, {});
  if (now - due < kLateTick)
    return std::nullopt;
  log::Record record = MakeRecord("tick_was_late");
  record.With("late_ms", ToMillis(now - due));
  std::string steps;
  for (std::size_t i = 0; i < totals.size(); ++i) {
    const Total& total = totals.at(i);
    if (total.count == 0)
      continue;
    if (!steps.empty())
      steps += ",";
    steps += std::string(control::ControlEventName(i)) + ":" +
             std::to_string(total.count) + "x" +
             std::to_string(ToMillis(total.time)) + "ms";
  }
  record.With("steps", steps);
  return record;
}

std::optional<log::Record> StepMonitor::OnBacklog(Time oldest,
                                                  std::size_t waiting,
                                                  Time now) {
  if (now < next_backlog_record_)
    return std::nullopt;
  if (now - oldest < kLongWait) {
    messages_ = {};
    return std::nullopt;
  }
  next_backlog_record_ = now + kBacklogRecordInterval;
  const Total handled = std::exchange(messages_, {});
  log::Record record = MakeRecord("entries_wait");
  record.With("waited_ms", ToMillis(now - oldest))
      .With("messages", waiting)
      .With("handled", handled.count)
      .With("handled_ms", ToMillis(handled.time))
      .With("decided_ms", ToMillis(handled.decision_time));
  return record;
}

}  // namespace jacinth
