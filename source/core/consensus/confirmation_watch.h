#pragma once

#include <algorithm>
#include <cstdint>

#include "core/common/time.h"

namespace jacinth::consensus {

/// Tells for how long a replica has owed the confirmation of entries without
/// confirming any. Heartbeats are answered without the disk, so that a replica
/// whose disk stands still is not silent.
class ConfirmationWatch {
 public:
  explicit ConfirmationWatch(Time start) : last_progress_(start) {}

  /// `match` is the last entry that the replica has confirmed, of a log that
  /// ends with `last`. Called at each heartbeat at least.
  void Update(std::uint64_t match, std::uint64_t last, Time now) {
    if (match > match_) {
      const Duration wait = now - last_progress_;
      longest_wait_ = std::max(wait, longest_wait_ - wait / kMemory);
    }
    if (match > match_ || match >= last)
      last_progress_ = now;
    match_ = std::max(match_, match);
  }

  /// Returns the last time at which the replica owed nothing, or had confirmed
  /// an entry since the call before.
  Time last_progress() const { return last_progress_; }

  /// Returns the longest time that a confirmation took lately; a wait is
  /// forgotten within a few times its length.
  Duration longest_wait() const { return longest_wait_; }

 private:
  static constexpr int kMemory = 4;

  std::uint64_t match_ = 0;
  Time last_progress_;
  Duration longest_wait_{0};
};

}  // namespace jacinth::consensus
