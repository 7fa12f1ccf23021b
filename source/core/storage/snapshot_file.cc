#include "core/storage/snapshot_file.h"

#include <cstring>

#include "core/common/hash.h"
#include "core/storage/file.h"
#include "core/wire/state_codec.h"

namespace jacinth::storage {
namespace {

constexpr std::string_view kSnapshotMagic = "JRSNAP01";
constexpr std::size_t kHeaderSize =
    kSnapshotMagic.size() + sizeof(std::uint64_t);

}  // namespace

std::string SnapshotFileName(std::uint64_t index) {
  return "snapshot-" + std::to_string(index) + ".snap";
}

Result<void> WriteSnapshot(const std::filesystem::path& folder,
                           const protocol::Snapshot& snapshot) {
  const std::string payload = wire::EncodeSnapshot(snapshot);
  const std::uint64_t checksum = Hash64(payload);
  std::string bytes(kSnapshotMagic);
  bytes.append(reinterpret_cast<const char*>(&checksum), sizeof(checksum));
  bytes += payload;
  return ReplaceFile(folder / SnapshotFileName(snapshot.index), bytes);
}

Result<protocol::Snapshot> ReadSnapshot(const std::filesystem::path& path) {
  const auto bytes = ReadFile(path);
  if (!bytes)
    return tl::unexpected(bytes.error());
  if (bytes->size() < kHeaderSize ||
      bytes->substr(0, kSnapshotMagic.size()) != kSnapshotMagic)
    return Fail(ErrorKind::kCorruptData,
                path.string() + ": invalid snapshot header");
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, bytes->data() + kSnapshotMagic.size(),
              sizeof(checksum));
  const std::string_view payload = std::string_view(*bytes).substr(kHeaderSize);
  if (Hash64(payload) != checksum)
    return Fail(ErrorKind::kCorruptData,
                path.string() + ": snapshot checksum mismatch");
  return wire::DecodeSnapshot(payload);
}

}  // namespace jacinth::storage
