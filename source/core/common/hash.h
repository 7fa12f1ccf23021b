#pragma once

#include <cstdint>
#include <string_view>

namespace jacinth {

/// Returns the 64-bit XXH3 hash of `bytes`, which is not cryptographic.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace jacinth
