#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include "core/common/error.h"
#include "core/protocol/snapshot.h"

namespace jacinth::storage {

/// Returns the file name of the snapshot taken at log index `index`.
std::string SnapshotFileName(std::uint64_t index);

/// Durably writes `snapshot` to its file in `folder`.
Result<void> WriteSnapshot(const std::filesystem::path& folder,
                           const protocol::Snapshot& snapshot);

/// Reads a snapshot file. Fails with kCorruptData if the header, the checksum
/// or the encoding is invalid.
Result<protocol::Snapshot> ReadSnapshot(const std::filesystem::path& path);

}  // namespace jacinth::storage
