#pragma once

#include "core/protocol/log_batch.h"

namespace jacinth::storage {

/// Merges `next` into `batch`, so that writing `batch` has the same effect as
/// writing both in order.
void MergeBatch(protocol::LogBatch& batch, const protocol::LogBatch& next);

/// Removes the entries of `log` from the index of the first of `entries` on and
/// appends `entries`. Does nothing if `entries` is empty.
void OverwriteEntries(std::vector<protocol::LogEntry>& log,
                      const std::vector<protocol::LogEntry>& entries);

}  // namespace jacinth::storage
