#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/protocol/log_batch.h"
#include "core/protocol/peer_message.h"
#include "core/protocol/snapshot.h"

namespace jacinth::consensus {

/// Number of a write. Writes are synced in order; 0 precedes all writes.
using SyncId = std::uint64_t;

/// A message to be sent only after the write `after_sync` is synced.
struct DeferredPeerMessage {
  protocol::PeerMessage message;
  SyncId after_sync = 0;
};

/// A write that the owner must sync, and then report to Replica::OnSynced().
struct WriteRequest {
  SyncId id = 0;
  protocol::LogBatch batch;
  /// Snapshot to store, if set; `batch` then contains the entries after it.
  std::optional<protocol::Snapshot> snapshot;
};

/// Actions that the owner of a replica must carry out after an event.
struct ReplicaActions {
  std::vector<DeferredPeerMessage> messages;
  std::vector<WriteRequest> writes;
  /// Snapshot to restore the state machine from before `committed` is applied.
  std::optional<protocol::Snapshot> restore;
  /// Entries to apply, in order.
  std::vector<protocol::LogEntry> committed;
};

}  // namespace jacinth::consensus
