#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// Parses a finite decimal number of at least 0, such as "6.25"; spaces around
/// it are ignored. Returns nullopt for any other text.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace jacinth
