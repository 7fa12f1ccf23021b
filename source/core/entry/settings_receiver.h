#pragma once

#include <cstdint>
#include <string>

#include "core/common/error.h"
#include "core/protocol/change_scope.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::entry {

/// Assembles a settings update from the pieces that the leader sends.
class SettingsReceiver {
 public:
  /// Adds a piece for an entry that holds `held_revision`. Returns true if it
  /// completes the update. A piece that doesn't continue the update is ignored,
  /// unless it is the first one of another update.
  bool Add(const protocol::SettingsPiece& piece, std::uint64_t held_revision);

  /// Unpacks the completed update and starts anew. Fails with kCorruptData if
  /// it is damaged.
  Result<protocol::SettingsUpdate> Take();

  /// What has been received, for the next heartbeat.
  const protocol::SettingsPosition& position() const { return position_; }
  /// The requests that the update may concern.
  const protocol::ChangeScope& scope() const { return scope_; }

 private:
  protocol::SettingsPosition position_;
  std::string bytes_;
  protocol::ChangeScope scope_;
};

}  // namespace jacinth::entry
