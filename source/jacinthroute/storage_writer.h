#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "core/common/error.h"
#include "core/consensus/replica_actions.h"
#include "core/storage/log_store.h"

namespace jacinth {

/// Performs the writes of a replica on a separate thread. Writes that are
/// queued while another write is in progress are combined and share one sync.
///
/// Stops writing after the first failed write.
class StorageWriter {
 public:
  using SyncHandler = std::function<void(consensus::SyncId)>;
  using FailureHandler = std::function<void(const Error&)>;

  /// The handlers are called on the thread of the writer. `on_synced` receives
  /// the id of the last write that is synced.
  StorageWriter(storage::LogStore store,
                SyncHandler on_synced,
                FailureHandler on_failed);
  ~StorageWriter();
  StorageWriter(const StorageWriter&) = delete;
  StorageWriter& operator=(const StorageWriter&) = delete;

  void Add(consensus::WriteRequest request);

  /// Completes the queued writes and joins the thread.
  void Stop();

 private:
  void Run();
  Result<void> WriteGroup(std::deque<consensus::WriteRequest>& group);
  // Appends `batch`, if there is one, to the log and clears it.
  Result<void> Flush(std::optional<protocol::LogBatch>& batch);

  storage::LogStore store_;
  SyncHandler on_synced_;
  FailureHandler on_failed_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::deque<consensus::WriteRequest> queue_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace jacinth
