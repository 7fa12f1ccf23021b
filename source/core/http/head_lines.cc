#include "core/http/head_lines.h"

#include <algorithm>
#include <cctype>

namespace jacinth::http {

bool HeadLines::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (ended_)
      return true;
    if (after_cr_ && c != '\n')
      return false;
    after_cr_ = c == '\r';
    if (c == '\n') {
      // Lines before the first one of the message may be empty.
      ended_ = line_empty_ && has_lines_;
      line_empty_ = true;
    } else if (c != '\r') {
      line_empty_ = false;
      has_lines_ = true;
    }
  }
  return true;
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

}  // namespace jacinth::http
