#include "jacinthroute/relay_tag.h"

#include <charconv>

namespace jacinth {
namespace {

constexpr std::string_view kRevisionParameter = ";revision=";

}  // namespace

std::string FormatRelayTag(const RelayTag& tag) {
  if (tag.revision == 0)
    return tag.entry;
  return tag.entry + std::string(kRevisionParameter) +
         std::to_string(tag.revision);
}

RelayTag ParseRelayTag(std::string_view text) {
  const std::size_t start = text.rfind(kRevisionParameter);
  if (start == std::string_view::npos)
    return {std::string(text), 0};
  RelayTag tag{std::string(text.substr(0, start)), 0};
  const std::string_view digits =
      text.substr(start + kRevisionParameter.size());
  const char* end = digits.data() + digits.size();
  std::uint64_t revision = 0;
  const auto result = std::from_chars(digits.data(), end, revision);
  if (result.ec == std::errc() && result.ptr == end)
    tag.revision = revision;
  return tag;
}

}  // namespace jacinth
