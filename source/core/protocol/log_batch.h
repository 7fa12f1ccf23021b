#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/protocol/hard_state.h"
#include "core/protocol/log_entry.h"

namespace jacinth::protocol {

/// The contents of one synced write to a replica's log.
struct LogBatch {
  std::optional<HardState> hard_state;
  /// Replace all stored entries from the index of the first one on.
  std::vector<LogEntry> entries;
  /// If set, entries up to this index are replaced by the snapshot file of the
  /// same index.
  std::optional<std::uint64_t> snapshot_index;

  bool operator==(const LogBatch&) const = default;
};

}  // namespace jacinth::protocol
