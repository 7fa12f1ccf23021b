#include "core/common/json_lists.h"

#include <algorithm>
#include <cstddef>

#include "core/common/json_list_splitter.h"
#include "core/common/json_value_reader.h"

namespace jacinth {
namespace {

// Joins unreadable entries that one JSON text leads through, with those between
// them: they are parts of one entry, which is unreadable behind them.
void JoinParts(JsonListText& list) {
  std::vector<JsonEntryText>& entries = list.entries;
  for (std::size_t first = 0; first < entries.size(); ++first) {
    if (entries[first].is_readable || !HasCharAt(entries[first].text, 0, '{'))
      continue;
    const char* const begin = entries[first].text.data();
    const std::string_view last_text = entries.back().text;
    const auto size =
        static_cast<std::size_t>(last_text.data() + last_text.size() - begin);
    JsonValueReader reader(std::string_view(begin, size), 0);
    std::size_t last = first;
    std::size_t current = first;
    while (reader.ReadToken() && reader.depth() <= kMaxRepairDepth) {
      const char* const position = begin + reader.position();
      while (current + 1 < entries.size() &&
             position > entries[current + 1].text.data())
        ++current;
      if (reader.depth() == 1 && !entries[current].is_readable)
        last = current;
    }
    if (last == first)
      continue;
    const std::string_view text = entries[last].text;
    entries[first].text = std::string_view(
        begin, static_cast<std::size_t>(text.data() + text.size() - begin));
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(first) + 1,
                  entries.begin() + static_cast<std::ptrdiff_t>(last) + 1);
  }
}

}  // namespace

std::optional<JsonListsText> SplitJsonLists(std::string_view text,
                                            std::string_view member) {
  std::vector<JsonMemberText> members;
  std::size_t position = SkipJsonWhitespace(text, 0);
  if (!HasCharAt(text, position, '{'))
    return std::nullopt;
  auto start = ReadJsonMemberStart(text, position + 1);
  while (start && start->name != member) {
    const auto end = ReadJsonMember(text, position + 1, kAnyJsonDepth, members);
    if (!end || !HasCharAt(text, *end, ','))
      return std::nullopt;
    position = *end;
    start = ReadJsonMemberStart(text, position + 1);
  }
  if (!start || !HasCharAt(text, start->value, '{'))
    return std::nullopt;
  const std::size_t first = SkipJsonWhitespace(text, start->value + 1);
  auto lists = JsonListSplitter(text, /*repairs=*/false).Split(first);
  if (!lists) {
    lists = JsonListSplitter(text, /*repairs=*/true).Split(first);
    if (!lists)
      return std::nullopt;
    std::for_each(lists->lists.begin(), lists->lists.end(), JoinParts);
  }
  lists->members.insert(lists->members.begin(), members.begin(), members.end());
  return lists;
}

}  // namespace jacinth
