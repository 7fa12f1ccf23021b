#pragma once

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

namespace jacinth::quarantine {

/// Returns the hexadecimal form of a fingerprint for log records.
inline std::string FormatFingerprint(std::uint64_t fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
  return text.data();
}

}  // namespace jacinth::quarantine
