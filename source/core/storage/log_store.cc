#include "core/storage/log_store.h"

#include <algorithm>
#include <map>
#include <system_error>
#include <utility>

#include "core/storage/file.h"
#include "core/storage/log_batches.h"
#include "core/storage/snapshot_file.h"
#include "core/wire/state_codec.h"

namespace jacinth::storage {
namespace {

using protocol::LogBatch;
using protocol::LogEntry;
using protocol::Snapshot;
using std::filesystem::path;

constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";

struct FolderListing {
  std::map<std::uint64_t, path> segments;
  std::map<std::uint64_t, path> snapshots;
};

std::uint64_t ParseNumberAfter(const std::string& name,
                               std::string_view prefix) {
  return std::strtoull(name.c_str() + prefix.size(), nullptr, 10);
}

// Lists segments and snapshots, and removes temporary files that a crash left.
Result<FolderListing> ListFolder(const path& folder) {
  FolderListing listing;
  std::error_code error;
  for (const auto& directory_entry :
       std::filesystem::directory_iterator(folder, error)) {
    const std::string name = directory_entry.path().filename();
    if (directory_entry.path().extension() == ".tmp") {
      std::filesystem::remove(directory_entry.path(), error);
      continue;
    }
    if (name.rfind(kSegmentPrefix, 0) == 0)
      listing.segments[ParseNumberAfter(name, kSegmentPrefix)] =
          directory_entry.path();
    if (name.rfind(kSnapshotPrefix, 0) == 0)
      listing.snapshots[ParseNumberAfter(name, kSnapshotPrefix)] =
          directory_entry.path();
  }
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                "failed to list " + folder.string() + ": " + error.message());
  }
  return listing;
}

// Applies the batches in `records` to `recovered`.
Result<void> ReplayRecords(const std::vector<std::string>& records,
                           RecoveredLog& recovered) {
  const std::uint64_t snapshot_index =
      recovered.snapshot ? recovered.snapshot->index : 0;
  for (const std::string& record : records) {
    const auto batch = wire::DecodeLogBatch(record);
    if (!batch)
      return tl::unexpected(batch.error());
    if (batch->hard_state)
      recovered.hard_state = *batch->hard_state;
    // A batch that names a snapshot contains all entries after that snapshot
    // and replaces those of earlier segments.
    if (batch->snapshot_index) {
      if (*batch->snapshot_index > snapshot_index)
        return Fail(
            ErrorKind::kCorruptData,
            "a log segment continues from a snapshot that is missing in the "
            "data folder");
      recovered.entries.clear();
    }
    OverwriteEntries(recovered.entries, batch->entries);
  }
  return {};
}

// Drops the entries that the snapshot covers and checks that the others follow
// it without gaps.
Result<void> AlignWithSnapshot(RecoveredLog& recovered) {
  const std::uint64_t covered_index =
      recovered.snapshot ? recovered.snapshot->index : 0;
  std::vector<LogEntry>& entries = recovered.entries;
  const auto first = std::find_if(
      entries.begin(), entries.end(),
      [&](const LogEntry& entry) { return entry.index > covered_index; });
  entries.erase(entries.begin(), first);
  std::uint64_t expected = covered_index + 1;
  for (const LogEntry& entry : entries) {
    if (entry.index != expected) {
      return Fail(ErrorKind::kCorruptData,
                  "log entry " + std::to_string(expected) + " is missing");
    }
    ++expected;
  }
  return {};
}

Result<void> RemoveFile(const path& file) {
  std::error_code error;
  std::filesystem::remove(file, error);
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                "failed to remove " + file.string() + ": " + error.message());
  }
  return {};
}

}  // namespace

Result<LogStore> LogStore::Open(const path& folder, RecoveredLog& recovered) {
  const auto listing = ListFolder(folder);
  if (!listing)
    return tl::unexpected(listing.error());
  if (!listing->snapshots.empty()) {
    auto snapshot = ReadSnapshot(listing->snapshots.rbegin()->second);
    if (!snapshot)
      return tl::unexpected(snapshot.error());
    recovered.snapshot = std::move(*snapshot);
  }
  if (listing->segments.empty()) {
    if (recovered.snapshot)
      return Fail(ErrorKind::kCorruptData,
                  "data folder has a snapshot but no log segments");
    auto segment = LogSegment::Create(folder, 1);
    if (!segment)
      return tl::unexpected(segment.error());
    return LogStore(folder, std::move(*segment));
  }
  const std::uint64_t last = listing->segments.rbegin()->first;
  std::uint64_t valid_size = 0;
  for (const auto& [number, file] : listing->segments) {
    const auto contents = LogSegment::Read(file, number, number == last);
    if (!contents)
      return tl::unexpected(contents.error());
    if (auto replayed = ReplayRecords(contents->records, recovered); !replayed)
      return tl::unexpected(replayed.error());
    valid_size = contents->valid_size;
    recovered.torn_bytes = contents->torn_bytes;
  }
  if (auto aligned = AlignWithSnapshot(recovered); !aligned)
    return tl::unexpected(aligned.error());
  auto segment = LogSegment::Reopen(folder, last, valid_size);
  if (!segment)
    return tl::unexpected(segment.error());
  return LogStore(folder, std::move(*segment));
}

LogStore::LogStore(path folder, LogSegment segment)
    : folder_(std::move(folder)), segment_(std::move(segment)) {}

Result<void> LogStore::Append(const LogBatch& batch) {
  return segment_.Append(wire::EncodeLogBatch(batch));
}

Result<void> LogStore::SaveSnapshot(const Snapshot& snapshot, LogBatch tail) {
  if (auto written = WriteSnapshot(folder_, snapshot); !written)
    return written;
  auto segment = LogSegment::Create(folder_, segment_.number() + 1);
  if (!segment)
    return tl::unexpected(segment.error());
  tail.snapshot_index = snapshot.index;
  if (auto appended = segment->Append(wire::EncodeLogBatch(tail)); !appended)
    return appended;
  segment_ = std::move(*segment);
  return RemoveFilesBefore(segment_.number(), snapshot.index);
}

Result<void> LogStore::RemoveFilesBefore(std::uint64_t segment,
                                         std::uint64_t snapshot) {
  const auto listing = ListFolder(folder_);
  if (!listing)
    return tl::unexpected(listing.error());
  for (const auto& [number, file] : listing->segments) {
    if (number >= segment)
      continue;
    if (auto removed = RemoveFile(file); !removed)
      return removed;
  }
  for (const auto& [index, file] : listing->snapshots) {
    if (index >= snapshot)
      continue;
    if (auto removed = RemoveFile(file); !removed)
      return removed;
  }
  return SyncFolder(folder_);
}

}  // namespace jacinth::storage
