#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jacinth::http {

/// Header fields in the order of the message.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field called `name`, ignoring case, or an
/// empty string.
std::string_view HeaderValue(const Headers& headers, std::string_view name);

/// Returns true if the field is not forwarded, because it applies to a single
/// hop (RFC 9110, 7.6.1), is generated for each hop, or concerns partial or
/// encoded content, which is not requested from endpoints.
bool IsHopByHop(std::string_view name);

/// Returns true if `name` is a token (RFC 9110, 5.6.2), as field names are.
bool IsToken(std::string_view name);

/// Returns true for the control characters that fields and status lines must
/// not contain: all but HTAB (RFC 9110, 5.5).
bool IsControlCharacter(char c);

/// Compares two names, ignoring case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace jacinth::http
