#include "core/storage/data_folder.h"

#include <fstream>

#include <catch2/catch.hpp>

#include "unit_tests/support/temporary_folder.h"

namespace jacinth::storage {

TEST_CASE("A data folder keeps the incarnation it was created with") {
  const test::TemporaryFolder folder;
  {
    const auto opened = DataFolder::Open(folder.path() / "d", "first");
    REQUIRE(opened);
    CHECK(opened->incarnation() == "first");
  }
  CHECK(DataFolder::Open(folder.path() / "d", "second")->incarnation() ==
        "first");
}

TEST_CASE("A data folder can't be opened twice at the same time") {
  const test::TemporaryFolder folder;
  const auto first = DataFolder::Open(folder.path(), "a");
  REQUIRE(first);
  const auto second = DataFolder::Open(folder.path(), "b");
  REQUIRE_FALSE(second);
  CHECK(second.error().kind == ErrorKind::kStorageFailed);
}

TEST_CASE(
    "A data folder with an empty incarnation file is rejected as corrupt") {
  const test::TemporaryFolder folder;
  std::ofstream(folder.path() / "incarnation") << "\n";
  const auto opened = DataFolder::Open(folder.path(), "a");
  REQUIRE_FALSE(opened);
  CHECK(opened.error().kind == ErrorKind::kCorruptData);
}

}  // namespace jacinth::storage
