#pragma once

#include <filesystem>
#include <string>

#include "core/common/error.h"
#include "core/storage/file.h"

namespace jacinth::storage {

/// The folder that holds all files of one replica. A lock file prevents a
/// second process from using it. The folder also stores the replica's
/// incarnation, which is set when the folder is first used.
class DataFolder {
 public:
  /// Opens the folder and creates it if it does not exist. `new_incarnation` is
  /// stored if the folder has no incarnation yet. Fails with kStorageFailed if
  /// the folder is locked or not writable, and with kCorruptData if the stored
  /// incarnation is empty.
  static Result<DataFolder> Open(const std::filesystem::path& path,
                                 const std::string& new_incarnation);

  const std::filesystem::path& path() const { return path_; }
  const std::string& incarnation() const { return incarnation_; }

 private:
  DataFolder(std::filesystem::path path, File lock, std::string incarnation);

  std::filesystem::path path_;
  File lock_;
  std::string incarnation_;
};

}  // namespace jacinth::storage
