#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/protocol/command.h"

namespace jacinth::wire {

/// Encodes a command as the payload of a log entry.
std::string EncodeCommand(const protocol::Command& command);

/// Decodes the payload of a log entry. Returns kCorruptData if the bytes do not
/// contain a command of a supported version.
Result<protocol::Command> DecodeCommand(std::string_view bytes);

}  // namespace jacinth::wire
