#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/protocol/hard_state.h"
#include "core/protocol/log_batch.h"
#include "core/protocol/snapshot.h"
#include "core/storage/log_segment.h"

namespace jacinth::storage {

/// The durable state of a replica, as read from its data folder on startup.
struct RecoveredLog {
  protocol::HardState hard_state;
  std::optional<protocol::Snapshot> snapshot;
  /// The log entries after the snapshot.
  std::vector<protocol::LogEntry> entries;
  /// Bytes of an interrupted write that were removed.
  std::uint64_t torn_bytes = 0;
};

/// The durable log of one replica, kept in segment and snapshot files. Not
/// thread-safe.
///
/// After a call fails, the store must not be used again, as the contents of the
/// disk are unknown until the folder is opened and read again.
class LogStore {
 public:
  /// Reads the folder into `recovered` and opens the log for appending. Fails
  /// with kCorruptData if anything except the tail of the last segment is
  /// damaged.
  static Result<LogStore> Open(const std::filesystem::path& folder,
                               RecoveredLog& recovered);

  /// Appends `batch` and returns once it is durable.
  Result<void> Append(const protocol::LogBatch& batch);

  /// Durably writes `snapshot`, starts a new segment with `tail` (the hard
  /// state and the entries after the snapshot) and removes older segments and
  /// snapshots.
  Result<void> SaveSnapshot(const protocol::Snapshot& snapshot,
                            protocol::LogBatch tail);

  /// Size of the current segment in bytes.
  std::uint64_t segment_size() const { return segment_.size(); }

 private:
  LogStore(std::filesystem::path folder, LogSegment segment);

  /// Removes the segments and snapshots with lower numbers and indexes than the
  /// given ones.
  Result<void> RemoveFilesBefore(std::uint64_t segment, std::uint64_t snapshot);

  std::filesystem::path folder_;
  LogSegment segment_;
};

}  // namespace jacinth::storage
