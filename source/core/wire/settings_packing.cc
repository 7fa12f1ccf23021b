#include "core/wire/settings_packing.h"

#include <zlib.h>

#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

/// Size limit of an unpacked update, which is that of a message.
constexpr std::int64_t kMaxUnpackedBytes = 64LL << 20U;

// zlib takes pointers to unsigned bytes.
const Bytef* ReadPointer(std::string_view bytes) {
  return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* WritePointer(std::string& bytes) {
  return reinterpret_cast<Bytef*>(bytes.data());
}

}  // namespace

std::string PackSettings(const protocol::SettingsUpdate& update) {
  const std::string bytes = Serialize(ToWire(update));
  generated::PackedSettings packed;
  packed.unpacked_bytes = static_cast<std::int64_t>(bytes.size());
  uLongf size = compressBound(bytes.size());
  packed.compressed.resize(size);
  // Can't fail, as the buffer has the size that compressBound() demands.
  compress(WritePointer(packed.compressed), &size, ReadPointer(bytes),
           bytes.size());
  packed.compressed.resize(size);
  return Serialize(packed);
}

Result<protocol::SettingsUpdate> UnpackSettings(std::string_view packed) {
  const auto wrapper = Deserialize<generated::PackedSettings>(packed);
  if (!wrapper)
    return tl::unexpected(wrapper.error());
  if (wrapper->unpacked_bytes < 0 ||
      wrapper->unpacked_bytes > kMaxUnpackedBytes)
    return Fail(ErrorKind::kCorruptData,
                "packed settings have an invalid size");
  std::string bytes(static_cast<std::size_t>(wrapper->unpacked_bytes), '\0');
  uLongf size = bytes.size();
  const int status =
      uncompress(WritePointer(bytes), &size, ReadPointer(wrapper->compressed),
                 wrapper->compressed.size());
  if (status != Z_OK || size != bytes.size())
    return Fail(ErrorKind::kCorruptData, "packed settings can't be unpacked");
  const auto update = Deserialize<generated::SettingsUpdate>(bytes);
  if (!update)
    return tl::unexpected(update.error());
  return FromWire(*update);
}

}  // namespace jacinth::wire
