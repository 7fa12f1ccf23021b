#include "core/wire/settings_packing.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::wire {

TEST_CASE("A settings update is the same after packing and unpacking") {
  protocol::SettingsUpdate update;
  update.revision = 8;
  update.base_revision = 7;
  update.checksum = 99;
  update.changes = {{"route/a", {{"host", "h"}}}, {"route/b", {}}};
  const std::string packed = PackSettings(update);
  const auto unpacked = UnpackSettings(packed);
  REQUIRE(unpacked);
  CHECK(*unpacked == update);
  for (std::size_t size = 0; size < packed.size(); ++size)
    CHECK_FALSE(UnpackSettings(packed.substr(0, size)));
}

TEST_CASE("A repetitive settings update is packed to a fraction of its size") {
  protocol::SettingsUpdate update;
  update.text = std::string(1'000'000, 'x');
  CHECK(PackSettings(update).size() < update.text.size() / 100);
}

}  // namespace jacinth::wire
