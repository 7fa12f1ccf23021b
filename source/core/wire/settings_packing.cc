#include "core/wire/settings_packing.h"

#include <utility>

#include "core/wire/compression.h"
#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
std::string PackSettings(const protocol::SettingsUpdate& update) {
  const std::string bytes = Serialize(ToWire(update));
  generated::PackedSettings packed;
  packed.unpacked_bytes = static_cast<std::int64_t>(bytes.size());
  packed.compressed = Compress(bytes);
  return Serialize(packed);
}

Result<protocol::SettingsUpdate> UnpackSettings(std::string_view packed) {
  const auto wrapper = Deserialize<generated::PackedSettings>(packed);
  if (!wrapper)
    return tl::unexpected(wrapper.error());
  const auto bytes = Decompress(wrapper->compressed, wrapper->unpacked_bytes);
  if (!bytes)
    return tl::unexpected(bytes.error());
  auto update = Deserialize<generated::SettingsUpdate>(*bytes);
  if (!update)
    return tl::unexpected(update.error());
  return FromWire(std::move(*update));
}

}  // namespace jacinth::wire
