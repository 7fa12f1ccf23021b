#include "core/settings/settings_page.h"

#include <fstream>
#include <iterator>
#include <string>

#include <catch2/catch.hpp>

namespace jacinth::settings {

TEST_CASE("docs/SETTINGS.md matches the tables of settings") {
  std::ifstream file(JACINTH_SOURCE_ROOT "/docs/SETTINGS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  CHECK(page == GenerateSettingsPage());
}

TEST_CASE("The example settings tree exists") {
  // scripts/demo checks the contents with the binaries.
  std::ifstream file(JACINTH_SOURCE_ROOT "/examples/local/tree.ini");
  CHECK(file.good());
}

}  // namespace jacinth::settings
