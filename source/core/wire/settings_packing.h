#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::wire {

/// Serializes and compresses a settings update.
std::string PackSettings(const protocol::SettingsUpdate& update);

/// Reverses PackSettings(). Fails with kCorruptData if the bytes are malformed
/// or unpack to more than an update may hold.
Result<protocol::SettingsUpdate> UnpackSettings(std::string_view packed);

}  // namespace jacinth::wire
