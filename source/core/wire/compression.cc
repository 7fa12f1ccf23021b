#include "core/wire/compression.h"

#include <zlib.h>

namespace jacinth::wire {
namespace {

/// Size limit of unpacked bytes, which is that of a message.
constexpr std::int64_t kMaxUnpackedBytes = 64LL << 20U;

// zlib takes pointers to unsigned bytes.
const Bytef* ReadPointer(std::string_view bytes) {
  return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* WritePointer(std::string& bytes) {
  return reinterpret_cast<Bytef*>(bytes.data());
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  // Can't fail, as the buffer has the size that compressBound() demands.
  compress2(WritePointer(compressed), &size, ReadPointer(bytes), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed,
                               std::int64_t unpacked_bytes) {
  if (unpacked_bytes < 0 || unpacked_bytes > kMaxUnpackedBytes)
    return Fail(ErrorKind::kCorruptData, "packed bytes have an invalid size");
  std::string bytes(static_cast<std::size_t>(unpacked_bytes), '\0');
  uLongf size = bytes.size();
  const int status = uncompress(WritePointer(bytes), &size,
                                ReadPointer(compressed), compressed.size());
  if (status != Z_OK || size != bytes.size())
    return Fail(ErrorKind::kCorruptData, "packed bytes can't be unpacked");
  return bytes;
}

}  // namespace jacinth::wire
