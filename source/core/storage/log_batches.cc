#include "core/storage/log_batches.h"

#include <algorithm>

namespace jacinth::storage {

void MergeBatch(protocol::LogBatch& batch, const protocol::LogBatch& next) {
  if (next.hard_state)
    batch.hard_state = next.hard_state;
  if (next.snapshot_index)
    batch.snapshot_index = next.snapshot_index;
  OverwriteEntries(batch.entries, next.entries);
}

void OverwriteEntries(std::vector<protocol::LogEntry>& log,
                      const std::vector<protocol::LogEntry>& entries) {
  if (entries.empty())
    return;
  const auto first =
      std::lower_bound(log.begin(), log.end(), entries.front().index,
                       [](const protocol::LogEntry& entry,
                          std::uint64_t index) { return entry.index < index; });
  log.erase(first, log.end());
  log.insert(log.end(), entries.begin(), entries.end());
}

}  // namespace jacinth::storage
