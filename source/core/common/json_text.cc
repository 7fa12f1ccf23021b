#include "core/common/json_text.h"

#include <algorithm>

namespace jacinth {
namespace {

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

  std::ptrdiff_t depth() const { return depth_; }

 private:
  bool in_string_ = false;
  bool escaped_ = false;
  std::ptrdiff_t depth_ = 0;
};

}  // namespace

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
