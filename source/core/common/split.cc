#include "core/common/split.h"

namespace jacinth {

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (text.empty())
    return parts;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find(separator, start);
    if (end == std::string_view::npos) {
      parts.emplace_back(text.substr(start));
      return parts;
    }
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  for (const std::string& part : Split(text, ',')) {
    const std::string_view trimmed = Trim(part);
    if (trimmed.empty())
      continue;
    parts.emplace_back(trimmed);
  }
  return parts;
}

std::string JoinList(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    if (!text.empty())
      text += ',';
    text += part;
  }
  return text;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos)
    return {};
  const std::size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

}  // namespace jacinth
