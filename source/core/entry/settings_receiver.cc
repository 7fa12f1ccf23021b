#include "core/entry/settings_receiver.h"

#include <utility>

#include "core/common/hash.h"
#include "core/wire/settings_packing.h"

namespace jacinth::entry {
namespace {

/// Size limit of a packed update, which is that of a message.
constexpr std::uint64_t kMaxPackedBytes = 64ULL << 20U;

}  // namespace

bool SettingsReceiver::Add(const protocol::SettingsPiece& piece,
                           std::uint64_t held_revision) {
  const protocol::SettingsPosition& start = piece.position;
  const bool applies =
      start.base_revision == 0 || start.base_revision == held_revision;
  if (!applies || start.revision <= held_revision ||
      piece.total_bytes > kMaxPackedBytes)
    return false;
  protocol::SettingsPosition begun = position_;
  begun.offset = 0;
  if (start.offset == 0 && start != begun) {
    bytes_.clear();
    position_ = start;
    scope_ = protocol::ChangeScope::FromBytes(piece.scope);
  }
  if (start != position_)
    return false;
  bytes_ += piece.bytes;
  position_.offset = bytes_.size();
  return bytes_.size() >= piece.total_bytes;
}

Result<protocol::SettingsUpdate> SettingsReceiver::Take() {
  const std::string bytes = std::exchange(bytes_, {});
  const protocol::SettingsPosition received = std::exchange(position_, {});
  scope_ = {};
  if (Hash64(bytes) != received.checksum) {
    return Fail(ErrorKind::kCorruptData, "the checksum of revision " +
                                             std::to_string(received.revision) +
                                             " does not match");
  }
  return wire::UnpackSettings(bytes);
}

}  // namespace jacinth::entry
