#include "jacinthroute/storage_writer.h"

#include <utility>

#include "core/storage/log_batches.h"

namespace jacinth {

using consensus::WriteRequest;

StorageWriter::StorageWriter(storage::LogStore store,
                             SyncHandler on_synced,
                             FailureHandler on_failed)
    : store_(std::move(store)),
      on_synced_(std::move(on_synced)),
      on_failed_(std::move(on_failed)),
      thread_([this] { Run(); }) {}

StorageWriter::~StorageWriter() {
  Stop();
}

void StorageWriter::Add(WriteRequest request) {
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(request));
  work_available_.notify_one();
}

void StorageWriter::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    work_available_.notify_one();
  }
  if (thread_.joinable())
    thread_.join();
}

void StorageWriter::Run() {
  while (true) {
    std::deque<WriteRequest> group;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [&] { return stopped_ || !queue_.empty(); });
      if (queue_.empty())
        return;
      group = std::exchange(queue_, {});
    }
    const consensus::SyncId last_id = group.back().id;
    if (auto written = WriteGroup(group); !written) {
      // The contents of the disk are unknown after a failed write, so nothing
      // more is written.
      on_failed_(written.error());
      return;
    }
    on_synced_(last_id);
  }
}

Result<void> StorageWriter::WriteGroup(std::deque<WriteRequest>& group) {
  std::optional<protocol::LogBatch> batch;
  for (WriteRequest& request : group) {
    if (request.snapshot) {
      if (auto flushed = Flush(batch); !flushed)
        return flushed;
      auto saved =
          store_.SaveSnapshot(*request.snapshot, std::move(request.batch));
      if (!saved)
        return saved;
      continue;
    }
    if (batch)
      storage::MergeBatch(*batch, request.batch);
    else
      batch = std::move(request.batch);
  }
  return Flush(batch);
}

Result<void> StorageWriter::Flush(std::optional<protocol::LogBatch>& batch) {
  if (!batch)
    return {};
  auto appended = store_.Append(*batch);
  batch.reset();
  return appended;
}

}  // namespace jacinth
