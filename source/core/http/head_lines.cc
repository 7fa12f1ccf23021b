#include "core/http/head_lines.h"

#include <algorithm>
#include <cctype>

#include "core/http/headers.h"

namespace jacinth::http {

std::optional<std::size_t> HeadLines::Feed(std::string_view bytes) {
  std::size_t size = 0;
  for (const char c : bytes) {
    if (ended_)
      break;
    ++size;
    const bool is_line_end = c == '\r' || c == '\n';
    if ((after_cr_ && c != '\n') || (IsControlCharacter(c) && !is_line_end))
      return std::nullopt;
    after_cr_ = c == '\r';
    if (c == '\n') {
      ended_ = line_empty_ && has_lines_;
      line_empty_ = true;
      in_first_line_ = in_first_line_ && !has_lines_;
    } else if (c != '\r') {
      has_folded_line_ |= line_empty_ && has_lines_ && (c == ' ' || c == '\t');
      line_empty_ = false;
      has_lines_ = true;
      if (in_first_line_ && first_line_.size() < kMaxFirstLineBytes)
        first_line_.push_back(c);
    }
  }
  return size;
}

bool ContainsStatusLine(std::string_view text) {
  // Each 0 stands for a digit.
  constexpr std::string_view kPattern = "HTTP/0.0 000";
  const auto matches = [](char expected, char c) {
    return expected == '0' ? std::isdigit(static_cast<unsigned char>(c)) != 0
                           : expected == c;
  };
  return std::search(text.begin(), text.end(), kPattern.begin(), kPattern.end(),
                     [&](char c, char expected) {
                       return matches(expected, c);
                     }) != text.end();
}

bool HasThreeDigitStatus(std::string_view line) {
  constexpr std::size_t kStatusDigits = 3;
  const std::size_t start = line.find_first_not_of(' ', line.find(' '));
  if (start == std::string_view::npos)
    return false;
  line.remove_prefix(start);
  const std::size_t end =
      std::min(line.find_first_not_of("0123456789"), line.size());
  return end == kStatusDigits;
}

}  // namespace jacinth::http
