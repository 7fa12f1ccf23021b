#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jacinth {

/// Splits `text` at each `separator`. Returns no parts for an empty text.
std::vector<std::string> Split(std::string_view text, char separator);

/// Splits a comma-separated list, trims each part and drops empty parts.
std::vector<std::string> SplitList(std::string_view text);

/// Joins `parts` with commas. SplitList parses the result.
std::string JoinList(const std::vector<std::string>& parts);

/// Returns `text` without leading and trailing whitespace.
std::string_view Trim(std::string_view text);

}  // namespace jacinth
