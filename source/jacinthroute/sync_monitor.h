#pragma once

#include <deque>
#include <optional>
#include <string_view>

#include "core/common/time.h"
#include "core/consensus/replica_actions.h"
#include "core/log/record.h"

namespace jacinth {

/// Tells a disk that is slow or stands still from other causes of late
/// acknowledgements: measures the syncs of a replica's writes. Not thread-safe.
class SyncMonitor {
 public:
  /// Records that a write is handed to the disk.
  void OnWrite(consensus::SyncId id, Time now);

  /// Records that all writes up to `id` are synced. Returns a log record if
  /// that was slow.
  std::optional<log::Record> OnSynced(consensus::SyncId id, Time now);

  /// Returns a log record if the running sync has been slow for long, at most
  /// once per second.
  std::optional<log::Record> OnTick(Time now);

 private:
  struct Write {
    consensus::SyncId id;
    Time added;
  };

  /// Returns the time at which the running sync began.
  Time RunsSince() const;
  log::Record MakeRecord(std::string_view event, Time now) const;

  std::deque<Write> writes_;
  Time last_synced_{};
  Time next_tick_record_{};
};

}  // namespace jacinth
