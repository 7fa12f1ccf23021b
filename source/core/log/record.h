#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace jacinth::log {

/// Severity of a record, in ascending order.
enum class Level {
  kTrace,
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// The part of the system that a record comes from.
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

/// Value of a field: a number, a boolean or a string.
using FieldValue = std::variant<std::int64_t, double, bool, std::string>;

/// A named value in a record. The name ends with the unit of the value, if it
/// has one.
struct Field {
  std::string_view name;
  FieldValue value;
};

/// One log record: an event and the values that explain it.
struct Record {
  Level level = Level::kInfo;
  Category category = Category::kMain;
  /// Short and constant, so that lines can be filtered by event.
  std::string_view event;
  std::vector<Field> fields;

  /// Adds a field and returns this record for chaining.
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
