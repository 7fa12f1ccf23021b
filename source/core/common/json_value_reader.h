#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jacinth {

/// Returns `start` or the position of the first character after it that is not
/// JSON whitespace.
std::size_t SkipJsonWhitespace(std::string_view text, std::size_t start);

/// Returns the position after the JSON string that begins at `start`; nullopt
/// if none does. Escapes and the encoding of characters are not checked.
std::optional<std::size_t> EndOfJsonString(std::string_view text,
                                           std::size_t start);

/// Follows the tokens of one JSON value without storing or recursing into it.
class JsonValueReader {
 public:
  JsonValueReader(std::string_view text, std::size_t start);

  /// Reads the next token. Returns false after the end of the value, and where
  /// the text is not JSON.
  bool ReadToken();

  bool is_complete() const { return expected_ == Expected::kNothing; }
  /// Returns the position after the last token.
  std::size_t position() const { return position_; }
  /// Returns the number of arrays and objects that are open.
  std::size_t depth() const { return open_.size(); }

 private:
  enum class Expected {
    kValue,
    kValueOrEnd,
    kName,
    kNameOrEnd,
    kColon,
    kCommaOrEnd,
    kNothing,
  };

  bool ReadName(char c);
  bool ReadValue(char c);
  bool ReadCommaOrEnd(char c);
  void Open(char bracket, Expected expected);
  void OnValueEnd();

  std::string_view text_;
  std::size_t position_;
  Expected expected_ = Expected::kValue;
  /// Opening brackets of the arrays and objects that are open.
  std::string open_;
};

/// Returns the position after the JSON value that begins at `start`; nullopt if
/// none does or more than `max_depth` arrays and objects are open in it.
std::optional<std::size_t> EndOfJsonValue(std::string_view text,
                                          std::size_t start,
                                          std::size_t max_depth);

}  // namespace jacinth
