#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

#include "core/common/error.h"

namespace jacinth::storage {

/// Owns an open file descriptor and closes it on destruction.
class File {
 public:
  enum class Mode {
    kRead,
    /// Creates the file or truncates an existing one.
    kCreate,
    /// Opens an existing file for appending.
    kAppend,
    /// Opens the file for locking and creates it if it does not exist.
    kLock,
  };

  /// Opens `path`. Fails with kStorageFailed.
  static Result<File> Open(const std::filesystem::path& path, Mode mode);

  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  /// Writes all bytes at the current position; continues after partial writes.
  Result<void> Write(std::string_view bytes);
  /// Flushes the contents to disk and returns once they are durable.
  Result<void> Sync();
  /// Truncates the file to `size` bytes.
  Result<void> Truncate(std::uint64_t size);
  /// Acquires an exclusive lock. Fails without waiting if the file is already
  /// locked.
  Result<void> Lock();

 private:
  File(int descriptor, std::filesystem::path path);

  Error MakeError(std::string_view failure) const;

  int descriptor_ = -1;
  std::filesystem::path path_;
};

/// Reads a whole file. Fails with kStorageFailed.
Result<std::string> ReadFile(const std::filesystem::path& path);

/// Syncs the directory `folder`, so that files created, renamed or removed in
/// it stay so after a crash.
Result<void> SyncFolder(const std::filesystem::path& folder);

/// Atomically and durably replaces the contents of `path` with `bytes`: after a
/// crash the file has either the old or the new contents.
Result<void> ReplaceFile(const std::filesystem::path& path,
                         std::string_view bytes);

}  // namespace jacinth::storage
