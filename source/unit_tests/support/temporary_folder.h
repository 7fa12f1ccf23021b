#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace jacinth::test {

/// Creates a temporary folder and removes it with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path_template =
        (std::filesystem::temp_directory_path() / "jacinth-XXXXXX").string();
    path_ = mkdtemp(path_template.data());
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace jacinth::test
