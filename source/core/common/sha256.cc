#include "core/common/sha256.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace jacinth {
namespace {

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4U]);
    hex.push_back(kDigits[bytes[i] & 15U]);
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacSha256Hex(std::string_view secret, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace jacinth
