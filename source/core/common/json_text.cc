#include "core/common/json_text.h"

#include <algorithm>

namespace jacinth {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view TrimJson(std::string_view text) {
  const std::size_t start = text.find_first_not_of(kWhitespace);
  if (start == std::string_view::npos)
    return {};
  const std::size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(start, last - start + 1);
}

/// Follows the strings and brackets of a JSON text.
class JsonScanner {
 public:
  void Next(char c) {
    if (in_string_) {
      if (escaped_)
        escaped_ = false;
      else if (c == '\\')
        escaped_ = true;
      else if (c == '"')
        in_string_ = false;
      return;
    }
    if (c == '"')
      in_string_ = true;
    else if (c == '[' || c == '{')
      ++depth_;
    else if (c == ']' || c == '}')
      --depth_;
  }

  bool in_string() const { return in_string_; }
  std::ptrdiff_t depth() const { return depth_; }

 private:
  bool in_string_ = false;
  bool escaped_ = false;
  std::ptrdiff_t depth_ = 0;
};

std::optional<std::vector<std::string_view>> SplitItems(std::string_view text,
                                                        char open,
                                                        char close) {
  text = TrimJson(text);
  if (text.size() < 2 || text.front() != open || text.back() != close)
    return std::nullopt;
  text = text.substr(1, text.size() - 2);
  std::vector<std::string_view> items;
  JsonScanner scanner;
  std::size_t start = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool separates =
        text[i] == ',' && !scanner.in_string() && scanner.depth() == 0;
    if (separates) {
      items.push_back(TrimJson(text.substr(start, i - start)));
      start = i + 1;
    }
    scanner.Next(text[i]);
    if (scanner.depth() < 0)
      return std::nullopt;
  }
  if (scanner.in_string() || scanner.depth() != 0)
    return std::nullopt;
  const std::string_view last = TrimJson(text.substr(start));
  if (!items.empty() || !last.empty())
    items.push_back(last);
  return items;
}

std::optional<JsonMemberText> SplitMember(std::string_view text) {
  if (text.empty() || text.front() != '"')
    return std::nullopt;
  JsonScanner scanner;
  std::size_t end = 0;
  do {
    scanner.Next(text[end]);
    ++end;
  } while (end < text.size() && scanner.in_string());
  const std::string_view rest = TrimJson(text.substr(end));
  if (scanner.in_string() || rest.empty() || rest.front() != ':')
    return std::nullopt;
  return JsonMemberText{text.substr(0, end), TrimJson(rest.substr(1))};
}

}  // namespace

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  return SplitItems(text, '[', ']');
}

std::optional<std::vector<JsonMemberText>> SplitJsonObject(
    std::string_view text) {
  const auto items = SplitItems(text, '{', '}');
  if (!items)
    return std::nullopt;
  std::vector<JsonMemberText> members;
  for (const std::string_view item : *items) {
    const auto member = SplitMember(item);
    if (!member)
      return std::nullopt;
    members.push_back(*member);
  }
  return members;
}

std::size_t JsonDepth(std::string_view text) {
  JsonScanner scanner;
  std::ptrdiff_t depth = 0;
  for (const char c : text) {
    scanner.Next(c);
    depth = std::max(depth, scanner.depth());
  }
  return static_cast<std::size_t>(depth);
}

}  // namespace jacinth
