#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/storage/file.h"

namespace jacinth::storage {

/// The records read from one segment file.
struct SegmentContents {
  std::vector<std::string> records;
  /// File size up to the end of the last valid record.
  std::uint64_t valid_size = 0;
  /// Bytes after `valid_size`, left by an interrupted write.
  std::uint64_t torn_bytes = 0;
};

/// An append-only file of checksummed records. Each record is written and
/// synced before the next one is written, so an interrupted write can only
/// damage the last record.
class LogSegment {
 public:
  /// Durably creates an empty segment and opens it for appending.
  static Result<LogSegment> Create(const std::filesystem::path& folder,
                                   std::uint64_t number);

  /// Reads all records of a segment. A damaged tail of the last segment is
  /// reported as `torn_bytes`. Damage in any other segment, or followed by a
  /// valid record, can't come from an interrupted write and fails with
  /// kCorruptData.
  static Result<SegmentContents> Read(const std::filesystem::path& path,
                                      std::uint64_t number,
                                      bool is_last);

  /// Truncates the last segment to `valid_size`, which removes a torn tail, and
  /// opens it for appending.
  static Result<LogSegment> Reopen(const std::filesystem::path& folder,
                                   std::uint64_t number,
                                   std::uint64_t valid_size);

  /// Returns the file name of segment `number`.
  static std::string FileName(std::uint64_t number);

  /// Appends one record and returns once it is durable.
  Result<void> Append(std::string_view record);

  std::uint64_t number() const { return number_; }
  std::uint64_t size() const { return size_; }

 private:
  LogSegment(File file, std::uint64_t number, std::uint64_t size);

  File file_;
  std::uint64_t number_ = 0;
  std::uint64_t size_ = 0;
};

}  // namespace jacinth::storage
