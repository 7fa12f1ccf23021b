#include <utility>

#include "core/wire/convert.h"

namespace jacinth::wire {

generated::SettingsUpdate ToWire(const protocol::SettingsUpdate& update) {
  generated::SettingsUpdate out;
  out.revision = static_cast<std::int64_t>(update.revision);
  out.text = update.text;
  out.checksum = static_cast<std::int64_t>(update.checksum);
  out.base_revision = static_cast<std::int64_t>(update.base_revision);
  out.changes.reserve(update.changes.size());
  for (const protocol::BranchChange& change : update.changes)
    out.changes.push_back(ToWire(change));
  return out;
}

protocol::SettingsUpdate FromWire(generated::SettingsUpdate&& update) {
  protocol::SettingsUpdate out;
  out.revision = static_cast<std::uint64_t>(update.revision);
  out.text = std::move(update.text);
  out.checksum = static_cast<std::uint64_t>(update.checksum);
  out.base_revision = static_cast<std::uint64_t>(update.base_revision);
  out.changes.reserve(update.changes.size());
  for (generated::BranchChange& change : update.changes)
    out.changes.push_back(FromWire(std::move(change)));
  return out;
}

generated::SettingsPosition ToWire(const protocol::SettingsPosition& position) {
  generated::SettingsPosition out;
  out.base_revision = static_cast<std::int64_t>(position.base_revision);
  out.revision = static_cast<std::int64_t>(position.revision);
  out.checksum = static_cast<std::int64_t>(position.checksum);
  out.offset = static_cast<std::int64_t>(position.offset);
  return out;
}

protocol::SettingsPosition FromWire(
    const generated::SettingsPosition& position) {
  protocol::SettingsPosition out;
  out.base_revision = static_cast<std::uint64_t>(position.base_revision);
  out.revision = static_cast<std::uint64_t>(position.revision);
  out.checksum = static_cast<std::uint64_t>(position.checksum);
  out.offset = static_cast<std::uint64_t>(position.offset);
  return out;
}

generated::SettingsPiece ToWire(const protocol::SettingsPiece& piece) {
  generated::SettingsPiece out;
  out.position = ToWire(piece.position);
  out.total_bytes = static_cast<std::int64_t>(piece.total_bytes);
  out.bytes = piece.bytes;
  if (!piece.scope.empty())
    out.__set_scope(piece.scope);
  return out;
}

protocol::SettingsPiece FromWire(const generated::SettingsPiece& piece) {
  return {FromWire(piece.position),
          static_cast<std::uint64_t>(piece.total_bytes), piece.bytes,
          piece.scope};
}

}  // namespace jacinth::wire
