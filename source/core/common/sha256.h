#pragma once

#include <string>
#include <string_view>

namespace jacinth {

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

/// Returns the HMAC-SHA-256 of `bytes` with the key `secret` as 64 lower-case
/// hexadecimal digits.
std::string HmacSha256Hex(std::string_view secret, std::string_view bytes);

/// Returns whether both texts are equal. For texts of the same length, the time
/// does not depend on the position of the first difference.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace jacinth
