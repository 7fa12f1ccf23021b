#include "core/http/chunk_lines.h"

#include <algorithm>
#include <charconv>

namespace jacinth::http {

bool ChunkLines::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (position_ == Position::kTrailers)
      return trailers_.Feed(bytes).has_value();
    if (position_ != Position::kData) {
      if (!FeedByte(bytes.front()))
        return false;
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t size = std::min(remaining_, bytes.size());
    bytes.remove_prefix(size);
    remaining_ -= size;
    if (remaining_ == 0)
      position_ = Position::kDataReturn;
  }
  return true;
}

// Returns false if `c`, which is no byte of data, must not stand here.
bool ChunkLines::FeedByte(char c) {
  constexpr int kHexBase = 16;
  switch (position_) {
    case Position::kSize: {
      std::size_t digit = 0;
      const auto parsed = std::from_chars(&c, &c + 1, digit, kHexBase);
      if (parsed.ec == std::errc()) {
        remaining_ = remaining_ * kHexBase + digit;
        return true;
      }
      position_ = Position::kExtension;
      return FeedByte(c);
    }
    case Position::kExtension:
      if (c == '\r')
        position_ = Position::kSizeLineFeed;
      return true;
    case Position::kSizeLineFeed:
      position_ = remaining_ == 0 ? Position::kTrailers : Position::kData;
      return c == '\n';
    case Position::kDataReturn:
      position_ = Position::kDataLineFeed;
      return c == '\r';
    case Position::kDataLineFeed:
      position_ = Position::kSize;
      return c == '\n';
    case Position::kData:
    case Position::kTrailers:
      return true;
  }
  return true;
}

}  // namespace jacinth::http
