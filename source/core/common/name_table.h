#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jacinth {

/// An enumerator and its name in settings, answers and logs.
template <typename Enum>
struct NamedValue {
  Enum value;
  std::string_view name;
};

/// Returns the name of `value`, or "unknown" if it is not in `table`.
template <typename Enum, std::size_t kSize>
constexpr std::string_view EnumName(
    const std::array<NamedValue<Enum>, kSize>& table,
    Enum value) {
  for (const auto& entry : table) {
    if (entry.value == value)
      return entry.name;
  }
  return "unknown";
}

/// Returns the enumerator with the given name, or nullopt if it is not in
/// `table`.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> EnumFromName(
    const std::array<NamedValue<Enum>, kSize>& table,
    std::string_view name) {
  for (const auto& entry : table) {
    if (entry.name == name)
      return entry.value;
  }
  return std::nullopt;
}

}  // namespace jacinth
