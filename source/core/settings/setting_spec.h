#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinth::settings {

/// Type of a setting, which determines the values that are valid.
enum class SettingType {
  kInteger,
  /// Decimal number, not negative.
  kDecimal,
  kBoolean,
  kText,
  /// `ip:port`, numeric.
  kAddress,
  /// Letters, digits, `-`, `_` and `.`.
  kName,
  kRank,
  /// Comma-separated list.
  kList,
  /// Comma-separated CIDR blocks of IPv4 addresses, `a.b.c.d/n`.
  kBlockList,
};

/// Returns the name of a type as shown in docs/SETTINGS.md.
std::string_view SettingTypeName(SettingType type);

/// Range of an integer setting, with both bounds inclusive.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Returns why `value` is invalid, or nullopt if it is valid. `range` applies
/// only to integers.
std::optional<std::string> CheckValue(SettingType type,
                                      IntegerRange range,
                                      std::string_view value);

/// Parses a decimal integer. Returns nullopt if `text` contains anything else.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Returns whether `text` is not empty and contains only letters, digits, `-`,
/// `_` and `.`.
bool IsName(std::string_view text);

}  // namespace jacinth::settings
