#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace jacinth {

/// The texts of a member of a JSON object. `name` includes its quotes.
struct JsonMemberText {
  std::string_view name;
  std::string_view value;
};

/// Splits the text of a JSON array into the texts of its elements without
/// parsing them, so that one that can't be parsed doesn't affect the others.
/// Returns nullopt if the text is not an array or its brackets and quotes don't
/// match.
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

/// Splits the text of a JSON object into those of its members; see
/// SplitJsonArray.
std::optional<std::vector<JsonMemberText>> SplitJsonObject(
    std::string_view text);

/// Returns the number of arrays and objects that are open at once at most.
std::size_t JsonDepth(std::string_view text);

}  // namespace jacinth
