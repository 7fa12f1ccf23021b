#include "core/common/json_value_reader.h"

#include <algorithm>

namespace jacinth {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kNumberSymbols = "-+.0123456789eE";
constexpr unsigned char kFirstPrintable = 0x20;

// Returns the position after the number or literal that begins at `start`;
// nullopt if none does.
std::optional<std::size_t> EndOfScalar(std::string_view text,
                                       std::size_t start) {
  for (const std::string_view literal : {"true", "false", "null"}) {
    if (text.substr(start, literal.size()) == literal)
      return start + literal.size();
  }
  const std::size_t end =
      std::min(text.find_first_not_of(kNumberSymbols, start), text.size());
  const std::string_view number = text.substr(start, end - start);
  const bool has_digit =
      number.find_first_of("0123456789") != std::string_view::npos;
  return has_digit ? std::optional(end) : std::nullopt;
}

}  // namespace

std::size_t SkipJsonWhitespace(std::string_view text, std::size_t start) {
  return std::min(text.find_first_not_of(kWhitespace, start), text.size());
}

std::optional<std::size_t> EndOfJsonString(std::string_view text,
                                           std::size_t start) {
  if (start >= text.size() || text[start] != '"')
    return std::nullopt;
  for (std::size_t i = start + 1; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"')
      return i + 1;
    if (static_cast<unsigned char>(c) < kFirstPrintable)
      return std::nullopt;
    if (c == '\\')
      ++i;
  }
  return std::nullopt;
}

JsonValueReader::JsonValueReader(std::string_view text, std::size_t start)
    : text_(text), position_(start) {}

bool JsonValueReader::ReadToken() {
  const std::size_t start = SkipJsonWhitespace(text_, position_);
  if (is_complete() || start >= text_.size())
    return false;
  position_ = start;
  const char c = text_[start];
  switch (expected_) {
    case Expected::kColon:
      if (c != ':')
        return false;
      ++position_;
      expected_ = Expected::kValue;
      return true;
    case Expected::kCommaOrEnd:
      return ReadCommaOrEnd(c);
    case Expected::kName:
    case Expected::kNameOrEnd:
      return ReadName(c);
    default:
      return ReadValue(c);
  }
}

bool JsonValueReader::ReadName(char c) {
  if (c == '}' && expected_ == Expected::kNameOrEnd)
    return ReadCommaOrEnd(c);
  const auto end = EndOfJsonString(text_, position_);
  if (!end)
    return false;
  position_ = *end;
  expected_ = Expected::kColon;
  return true;
}

bool JsonValueReader::ReadValue(char c) {
  if (c == ']' && expected_ == Expected::kValueOrEnd)
    return ReadCommaOrEnd(c);
  if (c == '{') {
    Open(c, Expected::kNameOrEnd);
    return true;
  }
  if (c == '[') {
    Open(c, Expected::kValueOrEnd);
    return true;
  }
  const auto end = c == '"' ? EndOfJsonString(text_, position_)
                            : EndOfScalar(text_, position_);
  if (!end)
    return false;
  position_ = *end;
  OnValueEnd();
  return true;
}

bool JsonValueReader::ReadCommaOrEnd(char c) {
  const bool in_array = open_.back() == '[';
  if (c == ',') {
    ++position_;
    expected_ = in_array ? Expected::kValue : Expected::kName;
    return true;
  }
  if (c != (in_array ? ']' : '}'))
    return false;
  ++position_;
  open_.pop_back();
  OnValueEnd();
  return true;
}

void JsonValueReader::Open(char bracket, Expected expected) {
  ++position_;
  open_ += bracket;
  expected_ = expected;
}

void JsonValueReader::OnValueEnd() {
  expected_ = open_.empty() ? Expected::kNothing : Expected::kCommaOrEnd;
}

std::optional<std::size_t> EndOfJsonValue(std::string_view text,
                                          std::size_t start,
                                          std::size_t max_depth) {
  JsonValueReader reader(text, start);
  while (reader.ReadToken()) {
    if (reader.depth() > max_depth)
      return std::nullopt;
  }
  return reader.is_complete() ? std::optional(reader.position()) : std::nullopt;
}

}  // namespace jacinth
