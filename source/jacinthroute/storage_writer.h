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

/// Carries out a replica's writes on its own thread. Writes that queue up while
/// the disk is busy share one sync.
class StorageWriter {
 public:
  using SyncHandler = std::function<void(consensus::SyncId)>;
  using FailureHandler = std::function<void(const Error&)>;

  /// The handlers run on the writer's thread.
  StorageWriter(storage::LogStore store,
                SyncHandler on_synced,
                FailureHandler on_failed);
  ~StorageWriter();
  StorageWriter(const StorageWriter&) = delete;
  StorageWriter& operator=(const StorageWriter&) = delete;

  void Add(consensus::WriteRequest request);

  /// Writes what is queued and ends the thread.
  void Stop();

 private:
  void Run();
  Result<void> WriteGroup(std::deque<consensus::WriteRequest>& group);
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
