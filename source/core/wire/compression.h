#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/common/error.h"

namespace jacinth::wire {

/// Compresses bytes with zlib.
std::string Compress(std::string_view bytes);

/// Reverses Compress(). Fails with kCorruptData if the bytes are malformed,
/// don't have the size `unpacked_bytes`, or have more than a message may hold.
Result<std::string> Decompress(std::string_view compressed,
                               std::int64_t unpacked_bytes);

}  // namespace jacinth::wire
