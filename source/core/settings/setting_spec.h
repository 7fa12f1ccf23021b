#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinth::settings {

/// The form that a value must have.
enum class SettingType {
  kInteger,
  kBoolean,
  kText,
  /// `ip:port`, numeric.
  kAddress,
  /// Letters, digits, `-`, `_` and `.`.
  kName,
  kRank,
  /// Comma-separated list.
  kList,
  /// Comma-separated blocks of IPv4 addresses, `a.b.c.d/n`.
  kBlockList,
};

/// Returns the name of a type as used in docs/SETTINGS.md.
std::string_view SettingTypeName(SettingType type);

/// Limits of an integer setting, both inclusive.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Returns why `value` does not fit, or nothing if it does.
std::optional<std::string> CheckValue(SettingType type,
                                      IntegerRange range,
                                      std::string_view value);

/// Parses a decimal integer that fills the whole text.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// True if `text` consists of the characters of a name.
bool IsName(std::string_view text);

}  // namespace jacinth::settings
