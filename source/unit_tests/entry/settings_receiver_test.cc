#include "core/entry/settings_receiver.h"

#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"
#include "core/wire/settings_packing.h"

namespace jacinth::entry {
namespace {

constexpr std::uint64_t kHeld = 7;

std::string Pack(std::uint64_t revision) {
  protocol::SettingsUpdate update;
  update.base_revision = kHeld;
  update.revision = revision;
  update.changes = {{"route/a", {{"host", "h"}}}};
  return wire::PackSettings(update);
}

protocol::SettingsPiece MakePiece(const std::string& packed,
                                  std::uint64_t revision,
                                  std::uint64_t offset,
                                  std::size_t size) {
  return {{kHeld, revision, Hash64(packed), offset},
          packed.size(),
          packed.substr(offset, size)};
}

}  // namespace

// Guards against settings made of pieces that are lost, repeated, reordered or
// taken from two updates.
TEST_CASE("Only the pieces of one update in their order complete it") {
  const std::string packed = Pack(8);
  const auto first = MakePiece(packed, 8, 0, 10);
  const auto rest = MakePiece(packed, 8, 10, packed.size());
  SettingsReceiver receiver;
  CHECK_FALSE(receiver.Add(rest, kHeld));
  CHECK(receiver.position() == protocol::SettingsPosition{});
  CHECK_FALSE(receiver.Add(first, kHeld));
  CHECK_FALSE(receiver.Add(first, kHeld));
  CHECK(receiver.position().offset == 10);
  SECTION("a piece of another update is ignored") {
    const std::string other = Pack(9);
    CHECK_FALSE(receiver.Add(MakePiece(other, 9, 10, other.size()), kHeld));
    CHECK(receiver.position().revision == 8);
  }
  SECTION("the start of another update replaces the first") {
    const std::string other = Pack(9);
    REQUIRE(receiver.Add(MakePiece(other, 9, 0, other.size()), kHeld));
    CHECK(receiver.Take()->revision == 9);
  }
  SECTION("an update of settings that the entry doesn't hold is ignored") {
    CHECK_FALSE(
        receiver.Add(MakePiece(packed, 8, 0, packed.size()), kHeld + 1));
  }
  SECTION("the next piece completes the update") {
    REQUIRE(receiver.Add(rest, kHeld));
    CHECK(receiver.Take()->revision == 8);
    CHECK(receiver.position() == protocol::SettingsPosition{});
  }
  SECTION("a damaged piece makes the update fail") {
    auto damaged = rest;
    damaged.bytes.back() ^= 1;
    REQUIRE(receiver.Add(damaged, kHeld));
    CHECK(receiver.Take().error().kind == ErrorKind::kCorruptData);
  }
}

}  // namespace jacinth::entry
