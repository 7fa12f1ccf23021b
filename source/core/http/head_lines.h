#pragma once

#include <string_view>

namespace jacinth::http {

/// Follows the line ends of a message's head.
class HeadLines {
 public:
  /// Returns false if a CR of the head is not followed by LF. Ignores the bytes
  /// after the head.
  bool Feed(std::string_view bytes);

 private:
  bool after_cr_ = false;
  bool line_empty_ = true;
  bool has_lines_ = false;
  bool ended_ = false;
};

/// Returns true if `text`, a part of a line, contains the start of a status
/// line such as "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text);

}  // namespace jacinth::http
