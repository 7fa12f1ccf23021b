#include "core/common/json_members.h"

#include "core/common/json_value_reader.h"

namespace jacinth {

bool HasCharAt(std::string_view text, std::size_t position, char c) {
  return position < text.size() && text[position] == c;
}

std::optional<JsonMemberStart> ReadJsonMemberStart(std::string_view text,
                                                   std::size_t position) {
  const std::size_t start = SkipJsonWhitespace(text, position);
  const auto end = EndOfJsonString(text, start);
  if (!end)
    return std::nullopt;
  const std::size_t colon = SkipJsonWhitespace(text, *end);
  if (!HasCharAt(text, colon, ':'))
    return std::nullopt;
  return JsonMemberStart{text.substr(start, *end - start),
                         SkipJsonWhitespace(text, colon + 1)};
}

std::optional<std::size_t> ReadJsonMember(
    std::string_view text,
    std::size_t position,
    std::size_t max_depth,
    std::vector<JsonMemberText>& members) {
  const auto start = ReadJsonMemberStart(text, position);
  if (!start)
    return std::nullopt;
  const auto end = EndOfJsonValue(text, start->value, max_depth);
  if (!end)
    return std::nullopt;
  members.push_back(
      {start->name, text.substr(start->value, *end - start->value)});
  return SkipJsonWhitespace(text, *end);
}

bool ReadLastJsonMembers(std::string_view text,
                         std::size_t position,
                         std::size_t max_depth,
                         std::vector<JsonMemberText>& members) {
  position = SkipJsonWhitespace(text, position);
  while (HasCharAt(text, position, ',')) {
    const auto end = ReadJsonMember(text, position + 1, max_depth, members);
    if (!end)
      return false;
    position = *end;
  }
  return HasCharAt(text, position, '}') &&
         SkipJsonWhitespace(text, position + 1) == text.size();
}

}  // namespace jacinth
