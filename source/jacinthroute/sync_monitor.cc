#include "jacinthroute/sync_monitor.h"

#include <algorithm>

namespace jacinth {
namespace {

/// Durations from which a sync is logged at its end, and while it runs.
constexpr Duration kSlowSync = 250ms;
constexpr Duration kLongSync = 1s;
constexpr Duration kTickRecordInterval = 1s;

}  // namespace

void SyncMonitor::OnWrite(consensus::SyncId id, Time now) {
  writes_.push_back({id, now});
}

std::optional<log::Record> SyncMonitor::OnSynced(consensus::SyncId id,
                                                 Time now) {
  if (writes_.empty() || writes_.front().id > id)
    return std::nullopt;
  std::optional<log::Record> record;
  if (now - RunsSince() >= kSlowSync)
    record = MakeRecord("sync_was_slow", now);
  while (!writes_.empty() && writes_.front().id <= id)
    writes_.pop_front();
  last_synced_ = now;
  return record;
}

std::optional<log::Record> SyncMonitor::OnTick(Time now) {
  if (writes_.empty() || now < next_tick_record_ ||
      now - RunsSince() < kLongSync)
    return std::nullopt;
  next_tick_record_ = now + kTickRecordInterval;
  return MakeRecord("sync_runs", now);
}

// A sync begins with its first write, or when the one before it has ended.
Time SyncMonitor::RunsSince() const {
  return std::max(writes_.front().added, last_synced_);
}

log::Record SyncMonitor::MakeRecord(std::string_view event, Time now) const {
  log::Record record{log::Level::kInfo, log::Category::kStorage, event, {}};
  record.With("took_ms", ToMillis(now - RunsSince()))
      .With("waited_ms", ToMillis(now - writes_.front().added))
      .With("writes", writes_.size());
  return record;
}

}  // namespace jacinth
