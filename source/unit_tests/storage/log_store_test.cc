#include "core/storage/log_store.h"

#include <csignal>
#include <fstream>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "core/storage/file.h"
#include "core/storage/log_batches.h"
#include "core/storage/snapshot_file.h"
#include "unit_tests/support/temporary_folder.h"

namespace jacinth::storage {
namespace {

using protocol::LogBatch;
using protocol::LogEntry;

LogBatch MakeBatch(std::uint64_t first,
                   std::uint64_t last,
                   std::uint64_t term) {
  LogBatch batch;
  batch.hard_state = protocol::HardState{term, "c1#1"};
  for (std::uint64_t index = first; index <= last; ++index) {
    batch.entries.push_back({index, term, protocol::LogEntryKind::kCommand,
                             "entry " + std::to_string(index)});
  }
  return batch;
}

RecoveredLog RecoverLog(const std::filesystem::path& folder) {
  RecoveredLog recovered;
  const auto store = LogStore::Open(folder, recovered);
  REQUIRE(store);
  return recovered;
}

std::filesystem::path SegmentPath(const std::filesystem::path& folder,
                                  std::uint64_t number) {
  return folder / LogSegment::FileName(number);
}

void WriteBytes(const std::filesystem::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

// Writes three batches into one segment.
void WriteThreeBatches(const std::filesystem::path& folder) {
  RecoveredLog recovered;
  auto store = LogStore::Open(folder, recovered);
  REQUIRE(store);
  REQUIRE(store->Append(MakeBatch(1, 3, 1)));
  REQUIRE(store->Append(MakeBatch(4, 6, 1)));
  REQUIRE(store->Append(MakeBatch(7, 9, 2)));
}

}  // namespace

TEST_CASE("Appended batches are recovered when the log is reopened") {
  const test::TemporaryFolder folder;
  WriteThreeBatches(folder.path());
  const RecoveredLog recovered = RecoverLog(folder.path());
  CHECK(recovered.entries.size() == 9);
  CHECK(recovered.hard_state.term == 2);
  CHECK(recovered.torn_bytes == 0);
}

TEST_CASE("Entries appended later replace those from the same index on") {
  const test::TemporaryFolder folder;
  {
    RecoveredLog recovered;
    auto store = LogStore::Open(folder.path(), recovered);
    REQUIRE(store->Append(MakeBatch(1, 5, 1)));
    REQUIRE(store->Append(MakeBatch(3, 4, 2)));
  }
  const RecoveredLog recovered = RecoverLog(folder.path());
  REQUIRE(recovered.entries.size() == 4);
  CHECK(recovered.entries[1].term == 1);
  CHECK(recovered.entries[2].term == 2);
}

TEST_CASE(
    "A log cut at any byte of its last record recovers the records before it "
    "and reports the torn bytes") {
  const test::TemporaryFolder folder;
  WriteThreeBatches(folder.path());
  const std::string intact_bytes = *ReadFile(SegmentPath(folder.path(), 1));
  RecoveredLog before;
  std::uint64_t two_batches_size = 0;
  {
    const test::TemporaryFolder other_folder;
    auto store = LogStore::Open(other_folder.path(), before);
    REQUIRE(store->Append(MakeBatch(1, 3, 1)));
    REQUIRE(store->Append(MakeBatch(4, 6, 1)));
    two_batches_size = store->segment_size();
  }
  for (std::size_t size = two_batches_size; size < intact_bytes.size();
       ++size) {
    WriteBytes(SegmentPath(folder.path(), 1), intact_bytes.substr(0, size));
    const RecoveredLog recovered = RecoverLog(folder.path());
    REQUIRE(recovered.entries.size() == 6);
    REQUIRE(recovered.torn_bytes == size - two_batches_size);
    // The log accepts entries after the torn tail is removed.
    RecoveredLog ignored;
    auto store = LogStore::Open(folder.path(), ignored);
    REQUIRE(store->Append(MakeBatch(7, 7, 3)));
    REQUIRE(RecoverLog(folder.path()).entries.size() == 7);
  }
}

TEST_CASE("Damage before the last record is rejected as corrupt") {
  const test::TemporaryFolder folder;
  WriteThreeBatches(folder.path());
  const std::string intact_bytes = *ReadFile(SegmentPath(folder.path(), 1));
  // Flips a bit in each of the first bytes of the first record, which starts
  // after the segment header.
  constexpr std::size_t kSegmentHeaderSize = 16;
  for (std::size_t position = kSegmentHeaderSize;
       position < kSegmentHeaderSize + 60; ++position) {
    std::string damaged = intact_bytes;
    damaged[position] = static_cast<char>(damaged[position] ^ 0x40);
    WriteBytes(SegmentPath(folder.path(), 1), damaged);
    RecoveredLog recovered;
    const auto store = LogStore::Open(folder.path(), recovered);
    REQUIRE_FALSE(store);
    REQUIRE(store.error().kind == ErrorKind::kCorruptData);
  }
}

TEST_CASE("A snapshot replaces the log entries and segments before it") {
  const test::TemporaryFolder folder;
  {
    RecoveredLog recovered;
    auto store = LogStore::Open(folder.path(), recovered);
    REQUIRE(store->Append(MakeBatch(1, 9, 1)));
    REQUIRE(store->SaveSnapshot({7, 1, {{"c1#1"}, {}}, "state"},
                                MakeBatch(8, 9, 1)));
    REQUIRE(store->Append(MakeBatch(10, 10, 1)));
  }
  CHECK_FALSE(std::filesystem::exists(SegmentPath(folder.path(), 1)));
  const RecoveredLog recovered = RecoverLog(folder.path());
  REQUIRE(recovered.snapshot);
  CHECK(recovered.snapshot->state == "state");
  REQUIRE(recovered.entries.size() == 3);
  CHECK(recovered.entries.front().index == 8);
}

TEST_CASE("A crash while a snapshot is saved loses no entries") {
  const test::TemporaryFolder folder;
  WriteThreeBatches(folder.path());
  SECTION("only the snapshot file was written") {
    REQUIRE(WriteSnapshot(folder.path(), {4, 1, {}, "state"}));
  }
  SECTION("the next segment was created and is empty") {
    REQUIRE(WriteSnapshot(folder.path(), {4, 1, {}, "state"}));
    REQUIRE(LogSegment::Create(folder.path(), 2));
  }
  SECTION("a temporary file was left behind") {
    WriteBytes(folder.path() / "snapshot-4.snap.tmp", "half");
  }
  const RecoveredLog recovered = RecoverLog(folder.path());
  CHECK(recovered.entries.back().index == 9);
  CHECK(recovered.hard_state.term == 2);
  const std::uint64_t snapshot_index = recovered.snapshot ? 4 : 0;
  CHECK(recovered.entries.front().index == snapshot_index + 1);
}

TEST_CASE("A missing or damaged snapshot is rejected as corrupt") {
  const test::TemporaryFolder folder;
  {
    RecoveredLog recovered;
    auto store = LogStore::Open(folder.path(), recovered);
    REQUIRE(store->SaveSnapshot({7, 1, {}, "state"}, MakeBatch(8, 9, 1)));
  }
  const auto path = folder.path() / SnapshotFileName(7);
  SECTION("missing") {
    std::filesystem::remove(path);
  }
  SECTION("damaged") {
    std::string bytes = *ReadFile(path);
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    WriteBytes(path, bytes);
  }
  RecoveredLog recovered;
  const auto store = LogStore::Open(folder.path(), recovered);
  REQUIRE_FALSE(store);
  CHECK(store.error().kind == ErrorKind::kCorruptData);
}

TEST_CASE("Acknowledged batches survive a write that fails on a full disk") {
  const test::TemporaryFolder folder;
  std::uint64_t acknowledged = 0;
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  std::signal(SIGXFSZ, SIG_IGN);
  {
    RecoveredLog recovered;
    auto store = LogStore::Open(folder.path(), recovered);
    rlimit limit = before;
    limit.rlim_cur = 2'000;
    setrlimit(RLIMIT_FSIZE, &limit);
    while (store->Append(MakeBatch(acknowledged + 1, acknowledged + 1, 1)))
      ++acknowledged;
  }
  setrlimit(RLIMIT_FSIZE, &before);
  std::signal(SIGXFSZ, SIG_DFL);
  CHECK(acknowledged > 0);
  const RecoveredLog recovered = RecoverLog(folder.path());
  CHECK(recovered.entries.size() == acknowledged);
}

TEST_CASE(
    "A merged batch stores the same entries as the batches it was merged "
    "from") {
  const bool ok = rc::check("merge", [] {
    LogBatch merged;
    std::vector<LogEntry> expected_log;
    std::uint64_t term = 0;
    const int batches = *rc::gen::inRange(1, 8);
    for (int i = 0; i < batches; ++i) {
      const auto first =
          *rc::gen::inRange<std::uint64_t>(1, expected_log.size() + 2);
      const auto count = *rc::gen::inRange<std::uint64_t>(0, 4);
      const LogBatch batch = MakeBatch(first, first + count, ++term);
      MergeBatch(merged, batch);
      OverwriteEntries(expected_log, batch.entries);
    }
    std::vector<LogEntry> merged_log;
    OverwriteEntries(merged_log, merged.entries);
    RC_ASSERT(merged_log.back().index == expected_log.back().index);
    for (const LogEntry& entry : merged_log)
      RC_ASSERT(expected_log[entry.index - 1] == entry);
    RC_ASSERT(merged.hard_state->term == term);
  });
  CHECK(ok);
}

}  // namespace jacinth::storage
