#include <utility>

#include "core/control/control_node.h"

namespace jacinth::control {
namespace {

/// Versions of lists hold the leader's term in the upper 32 bits.
constexpr unsigned kTermShift = 32;
/// Time after which unconfirmed changes are taken to be lost.
constexpr Duration kResendSuspectsAfter = 1s;

}  // namespace

void ControlNode::OnCrashReports(const protocol::Heartbeat& heartbeat,
                                 ClockReading clock) {
  for (const protocol::CrashReport& report : heartbeat.crashes)
    suspects_.OnReport(report, clock.now);
  for (const std::uint64_t fingerprint : heartbeat.acquitted)
    suspects_.OnAcquittal(fingerprint);
}

// Records new suspects in the log, which then reach the entries with the next
// lists.
void ControlNode::RecordSuspects(ClockReading clock) {
  suspects_.Expire(clock.now);
  protocol::RecordSuspects record{suspects_.TakeUnrecorded(clock)};
  for (log::Record& log_record : suspects_.TakeLogRecords())
    actions_.log_records.push_back(std::move(log_record));
  if (!record.requests.empty())
    ProposeCommand(PendingSuspects{}, std::move(record), clock);
}

std::uint64_t ControlNode::SuspectsVersion() const {
  return (registry_term_ << kTermShift) + state_.suspects().version();
}

// Returns true if an entry that holds `version` can be sent what has changed.
bool ControlNode::KeepsSuspectsSince(std::uint64_t version) const {
  return version >> kTermShift == registry_term_ &&
         state_.suspects().KeepsChangesSince(
             static_cast<std::uint32_t>(version));
}

// Adds the suspects that have changed; PushWholeLists() sends whole lists.
void ControlNode::AddSuspects(EntryDelivery& delivery,
                              protocol::HeartbeatReply& reply,
                              ClockReading clock) {
  const std::uint64_t base = delivery.suspects.Base(clock.now);
  const bool sends_changes =
      delivery.takes_suspect_changes && KeepsSuspectsSince(base);
  reply.suspects = SuspectsFor(sends_changes ? base : SuspectsVersion(), clock);
  if (!reply.suspects.unchanged)
    delivery.suspects.OnSent(SuspectsVersion(), kResendSuspectsAfter,
                             clock.now);
}

protocol::SuspectUpdate ControlNode::SuspectsFor(std::uint64_t base,
                                                 ClockReading clock) const {
  protocol::SuspectUpdate update;
  update.version = SuspectsVersion();
  update.unchanged = update.version == base;
  if (update.unchanged)
    return update;
  const SuspectTable& suspects = state_.suspects();
  std::uint32_t since = 0;
  if (KeepsSuspectsSince(base)) {
    update.base = base;
    since = static_cast<std::uint32_t>(base);
  }
  update.removed = suspects.RemovedSince(since);
  for (const auto& [fingerprint, item] : suspects.items()) {
    const std::int64_t left_ms = item.request.expires_ms - clock.wall_ms;
    const bool is_listed =
        left_ms > 0 && (update.base == 0 || item.changed > since);
    if (is_listed)
      update.requests.push_back({fingerprint, item.request.endpoints, left_ms});
  }
  return update;
}

}  // namespace jacinth::control
