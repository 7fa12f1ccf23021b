#include "core/common/decimal.h"

#include <charconv>
#include <cmath>

#include "core/common/split.h"

namespace jacinth {

std::optional<double> ParseDecimal(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  double value = 0;
  const char* end = trimmed.data() + trimmed.size();
  const auto [stop, error] = std::from_chars(trimmed.data(), end, value);
  const bool valid =
      error == std::errc() && stop == end && std::isfinite(value) && value >= 0;
  return valid ? std::optional(value) : std::nullopt;
}

}  // namespace jacinth
