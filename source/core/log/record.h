#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace jacinth::log {

/// Importance of a line.
enum class Level {
  kTrace,
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// The part of the system that a line comes from.
enum class Category {
  kMain,
  kSettings,
  kStorage,
  kConsensus,
  kControl,
  kEntry,
  kForwarding,
  kNet,
  kHttp,
  kAdmin,
};

/// A value of a line: a number, a truth value or a text.
using FieldValue = std::variant<std::int64_t, double, bool, std::string>;

/// One thing that a line says. Names end in their unit where they have one.
struct Field {
  std::string_view name;
  FieldValue value;
};

/// One line: what happened, and what decided it.
struct Record {
  Level level = Level::kInfo;
  Category category = Category::kMain;
  /// Short and constant, so that lines can be selected by it.
  std::string_view event;
  std::vector<Field> fields;

  /// Adds a field.
  template <typename Value>
  Record& With(std::string_view name, Value value) {
    if constexpr (std::is_same_v<Value, bool> || std::is_same_v<Value, double>)
      fields.push_back({name, value});
    else if constexpr (std::is_integral_v<Value>)
      fields.push_back({name, static_cast<std::int64_t>(value)});
    else
      fields.push_back({name, std::string(std::move(value))});
    return *this;
  }
};

}  // namespace jacinth::log
