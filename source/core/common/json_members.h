#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace jacinth {

/// A member of a JSON object. `name` includes its quotes.
struct JsonMemberText {
  std::string_view name;
  std::string_view value;
};

/// The name of a member of a JSON object, and the position of its value.
struct JsonMemberStart {
  std::string_view name;
  std::size_t value = 0;
};

/// Returns true if the character at `position` is `c`.
bool HasCharAt(std::string_view text, std::size_t position, char c);

/// Reads the name of the member that begins at `position`. Returns nullopt if
/// none does.
std::optional<JsonMemberStart> ReadJsonMemberStart(std::string_view text,
                                                   std::size_t position);

/// Reads a member whose value is JSON with at most `max_depth` open arrays and
/// objects, and adds it to `members`. Returns the position after it; nullopt if
/// there is none.
std::optional<std::size_t> ReadJsonMember(std::string_view text,
                                          std::size_t position,
                                          std::size_t max_depth,
                                          std::vector<JsonMemberText>& members);

/// Reads the members after one that ends at `position`, to the end of the text.
/// Returns false if the text isn't JSON up to there.
bool ReadLastJsonMembers(std::string_view text,
                         std::size_t position,
                         std::size_t max_depth,
                         std::vector<JsonMemberText>& members);

}  // namespace jacinth
