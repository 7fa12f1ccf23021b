#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jacinth {

/// Splits `text` at each `separator`; an empty text gives no parts.
std::vector<std::string> Split(std::string_view text, char separator);

/// Splits at commas, trims blanks and drops empty parts.
std::vector<std::string> SplitList(std::string_view text);

/// Joins with commas, as SplitList reads it.
std::string JoinList(const std::vector<std::string>& parts);

/// Removes blanks at both ends.
std::string_view Trim(std::string_view text);

}  // namespace jacinth
