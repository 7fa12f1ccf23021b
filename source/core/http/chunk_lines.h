#pragma once

#include <cstddef>
#include <string_view>

#include "core/http/head_lines.h"

namespace jacinth::http {

/// Follows the line ends of a body in chunks and of the trailer fields after it
/// (RFC 9112, 7.1). Doesn't check the sizes, which the parser reads as well.
class ChunkLines {
 public:
  /// Returns false if a chunk is longer than its size, if a line doesn't end
  /// with CRLF, or if the trailer fields contain control characters.
  bool Feed(std::string_view bytes);

  /// Returns true if a trailer line continues the field before it.
  bool has_folded_line() const { return trailers_.has_folded_line(); }

 private:
  enum class Position {
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailers,
  };

  bool FeedByte(char c);

  Position position_ = Position::kSize;
  /// Rest of the chunk's data, in bytes.
  std::size_t remaining_ = 0;
  HeadLines trailers_{HeadLines::Section::kTrailers};
};

}  // namespace jacinth::http
