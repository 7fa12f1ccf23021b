#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jacinth::http {

/// Follows the lines of a message's head, or of its trailer section.
class HeadLines {
 public:
  enum class Section { kHead, kTrailers };

  explicit HeadLines(Section section)
      : has_lines_(section == Section::kTrailers),
        in_first_line_(section == Section::kHead) {}

  /// Returns how many of the bytes belong to the section, or nothing if a CR in
  /// it is not followed by LF, or if it has control characters other than HTAB.
  std::optional<std::size_t> Feed(std::string_view bytes);

  /// Returns true if a line continues the field before it (RFC 9112, 5.2).
  bool has_folded_line() const { return has_folded_line_; }

  /// Returns the start of the first line of the message.
  std::string_view first_line() const { return first_line_; }

 private:
  /// Enough for the version and the status of a status line.
  static constexpr std::size_t kMaxFirstLineBytes = 32;

  std::string first_line_;
  bool after_cr_ = false;
  bool line_empty_ = true;
  /// False while empty lines may come before the first one of the message.
  bool has_lines_;
  bool in_first_line_;
  bool has_folded_line_ = false;
  bool ended_ = false;
};

/// Returns true if `text`, a part of a line, contains the start of a status
/// line such as "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text);

/// Returns true if `line` starts like a status line whose status has three
/// digits (RFC 9112, 4).
bool HasThreeDigitStatus(std::string_view line);

}  // namespace jacinth::http
