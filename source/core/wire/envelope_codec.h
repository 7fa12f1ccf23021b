#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/protocol/envelope.h"

namespace jacinth::wire {

/// Encodes a message to be sent on a link.
std::string EncodeEnvelope(const protocol::Envelope& envelope);

/// As EncodeEnvelope(), for a receiver that takes packed messages.
std::string EncodePackedEnvelope(const protocol::Envelope& envelope);

/// Decodes a message, packed or not. Returns kCorruptData if the bytes do not
/// contain a message of a known type and a supported version.
Result<protocol::Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace jacinth::wire
