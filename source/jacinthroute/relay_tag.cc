#include "jacinthroute/relay_tag.h"

#include <charconv>

namespace jacinth {
namespace {

constexpr std::string_view kKeyParameter = ";key=";
constexpr std::string_view kDecisionParameter = ";decision=";
constexpr std::string_view kRevisionParameter = ";revision=";

void AppendNumber(std::string& text,
                  std::string_view parameter,
                  std::uint64_t number) {
  if (number != 0)
    text += std::string(parameter) + std::to_string(number);
}

// Removes the last parameter of a text if it has that name, and returns its
// number; 0 if there is none or if it is malformed.
std::uint64_t TakeNumber(std::string_view& text, std::string_view parameter) {
  const std::size_t start = text.rfind(parameter);
  if (start == std::string_view::npos)
    return 0;
  const std::string_view digits = text.substr(start + parameter.size());
  text = text.substr(0, start);
  const char* end = digits.data() + digits.size();
  std::uint64_t number = 0;
  const auto result = std::from_chars(digits.data(), end, number);
  return result.ec == std::errc() && result.ptr == end ? number : 0;
}

}  // namespace

std::string FormatRelayTag(const RelayTag& tag) {
  std::string text = tag.entry;
  AppendNumber(text, kKeyParameter, tag.key);
  AppendNumber(text, kDecisionParameter, tag.decision);
  AppendNumber(text, kRevisionParameter, tag.revision);
  return text;
}

RelayTag ParseRelayTag(std::string_view text) {
  RelayTag tag;
  tag.revision = TakeNumber(text, kRevisionParameter);
  tag.decision = TakeNumber(text, kDecisionParameter);
  tag.key = TakeNumber(text, kKeyParameter);
  tag.entry = std::string(text);
  return tag;
}

}  // namespace jacinth
