#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/common/json_members.h"

namespace jacinth {

/// An entry of a list in a JSON text.
struct JsonEntryText {
  std::string_view text;
  /// False if the entry is not JSON. Its text then says nothing.
  bool is_readable = true;
};

/// A list with its name, which includes the quotes.
struct JsonListText {
  std::string_view name;
  std::vector<JsonEntryText> entries;
};

/// The parts of a JSON object one of whose members holds named lists.
struct JsonListsText {
  std::vector<JsonListText> lists;
  /// The other members of the object.
  std::vector<JsonMemberText> members;
};

/// Splits the JSON object `text`, whose member `member` (with its quotes) is an
/// object of named lists, without parsing their entries. Entries that are not
/// JSON are found although they may hide where they end: of all ways to split
/// the text, the one that leaves the fewest bytes unread is taken; see
/// docs/design/unreadable-entries.md. Members of the object of lists that
/// aren't lists are left out. Returns nullopt if there is no such member, if
/// the text is malformed outside of the entries, or if reading it would take
/// too much memory.
std::optional<JsonListsText> SplitJsonLists(std::string_view text,
                                            std::string_view member);

}  // namespace jacinth
