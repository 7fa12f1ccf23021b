#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/protocol/control_snapshot.h"
#include "core/protocol/log_batch.h"
#include "core/protocol/snapshot.h"

namespace jacinth::wire {

/// Encoding of the records that a replica stores on disk. The decoders return
/// kCorruptData for bytes that do not contain the expected record.

std::string EncodeLogBatch(const protocol::LogBatch& batch);
Result<protocol::LogBatch> DecodeLogBatch(std::string_view bytes);

std::string EncodeSnapshot(const protocol::Snapshot& snapshot);
Result<protocol::Snapshot> DecodeSnapshot(std::string_view bytes);

std::string EncodeControlSnapshot(const protocol::ControlSnapshot& state);
Result<protocol::ControlSnapshot> DecodeControlSnapshot(std::string_view bytes);

std::string EncodeConfiguration(const protocol::Configuration& configuration);
Result<protocol::Configuration> DecodeConfiguration(std::string_view bytes);

}  // namespace jacinth::wire
