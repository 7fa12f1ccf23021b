#include "core/storage/file.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <sys/file.h>

namespace jacinth::storage {
namespace {

constexpr mode_t kFilePermissions = 0600;
constexpr std::size_t kReadChunkBytes = 65'536;

int OpenFlags(File::Mode mode) {
  switch (mode) {
    case File::Mode::kRead:
      return O_RDONLY | O_CLOEXEC;
    case File::Mode::kCreate:
      return O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
    case File::Mode::kAppend:
      return O_WRONLY | O_APPEND | O_CLOEXEC;
    case File::Mode::kLock:
      return O_RDWR | O_CREAT | O_CLOEXEC;
  }
  return O_RDONLY | O_CLOEXEC;
}

// Returns an error with the text of the current `errno`.
Error MakeSystemError(std::string_view failure,
                      const std::filesystem::path& path) {
  std::string detail(failure);
  detail += " " + path.string() + ": " + std::strerror(errno);
  return {ErrorKind::kStorageFailed, std::move(detail)};
}

}  // namespace

Result<File> File::Open(const std::filesystem::path& path, Mode mode) {
  const int descriptor =
      ::open(path.c_str(), OpenFlags(mode), kFilePermissions);
  if (descriptor < 0)
    return tl::unexpected(MakeSystemError("failed to open", path));
  return File(descriptor, path);
}

File::File(int descriptor, std::filesystem::path path)
    : descriptor_(descriptor), path_(std::move(path)) {}

File::File(File&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      path_(std::move(other.path_)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(path_, other.path_);
  return *this;
}

File::~File() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
}

Result<void> File::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0)
      return tl::unexpected(MakeError("failed to write"));
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

Result<void> File::Sync() {
  if (::fdatasync(descriptor_) != 0)
    return tl::unexpected(MakeError("failed to sync"));
  return {};
}

Result<void> File::Truncate(std::uint64_t size) {
  if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0)
    return tl::unexpected(MakeError("failed to truncate"));
  return {};
}

Result<void> File::Lock() {
  if (::flock(descriptor_, LOCK_EX | LOCK_NB) != 0)
    return tl::unexpected(MakeError("failed to lock"));
  return {};
}

Error File::MakeError(std::string_view failure) const {
  return MakeSystemError(failure, path_);
}

Result<std::string> ReadFile(const std::filesystem::path& path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0)
    return tl::unexpected(MakeSystemError("failed to open", path));
  std::string bytes;
  std::array<char, kReadChunkBytes> chunk{};
  while (true) {
    const ssize_t count = ::read(descriptor, chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0) {
      const Error error = MakeSystemError("failed to read", path);
      ::close(descriptor);
      return tl::unexpected(error);
    }
    if (count == 0)
      break;
    bytes.append(chunk.data(), static_cast<std::size_t>(count));
  }
  ::close(descriptor);
  return bytes;
}

Result<void> SyncFolder(const std::filesystem::path& folder) {
  const int descriptor =
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return tl::unexpected(MakeSystemError("failed to open", folder));
  const bool synced = ::fsync(descriptor) == 0;
  const Error error = MakeSystemError("failed to sync", folder);
  ::close(descriptor);
  if (!synced)
    return tl::unexpected(error);
  return {};
}

Result<void> ReplaceFile(const std::filesystem::path& path,
                         std::string_view bytes) {
  const std::filesystem::path temporary = path.string() + ".tmp";
  auto file = File::Open(temporary, File::Mode::kCreate);
  if (!file)
    return tl::unexpected(file.error());
  if (auto written = file->Write(bytes); !written)
    return written;
  if (auto synced = file->Sync(); !synced)
    return synced;
  if (::rename(temporary.c_str(), path.c_str()) != 0)
    return tl::unexpected(
        MakeSystemError("failed to rename the temporary file to", path));
  return SyncFolder(path.parent_path());
}

}  // namespace jacinth::storage
