#include "core/storage/data_folder.h"

#include <system_error>
#include <utility>

#include "core/common/split.h"

namespace jacinth::storage {
namespace {

constexpr const char* kLockFileName = "lock";
constexpr const char* kIncarnationFileName = "incarnation";

Result<std::string> ReadOrCreateIncarnation(
    const std::filesystem::path& folder,
    const std::string& new_incarnation) {
  const std::filesystem::path path = folder / kIncarnationFileName;
  if (std::filesystem::exists(path)) {
    auto text = ReadFile(path);
    if (!text)
      return text;
    std::string incarnation(Trim(*text));
    if (incarnation.empty())
      return Fail(ErrorKind::kCorruptData,
                  "incarnation file is empty: " + path.string());
    return incarnation;
  }
  if (auto written = ReplaceFile(path, new_incarnation + "\n"); !written)
    return tl::unexpected(written.error());
  return new_incarnation;
}

}  // namespace

Result<DataFolder> DataFolder::Open(const std::filesystem::path& path,
                                    const std::string& new_incarnation) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                "failed to create " + path.string() + ": " + error.message());
  }
  const std::filesystem::path absolute = std::filesystem::absolute(path);
  if (auto synced = SyncFolder(absolute.parent_path()); !synced)
    return tl::unexpected(synced.error());
  auto lock = File::Open(absolute / kLockFileName, File::Mode::kLock);
  if (!lock)
    return tl::unexpected(lock.error());
  if (auto locked = lock->Lock(); !locked)
    return tl::unexpected(locked.error());
  auto incarnation = ReadOrCreateIncarnation(absolute, new_incarnation);
  if (!incarnation)
    return tl::unexpected(incarnation.error());
  return DataFolder(absolute, std::move(*lock), std::move(*incarnation));
}

DataFolder::DataFolder(std::filesystem::path path,
                       File lock,
                       std::string incarnation)
    : path_(std::move(path)),
      lock_(std::move(lock)),
      incarnation_(std::move(incarnation)) {}

}  // namespace jacinth::storage
