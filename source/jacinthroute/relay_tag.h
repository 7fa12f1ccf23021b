#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinth {

/// Says in a header which entry has handed over a request, or has refused one,
/// and by which settings. Entries of earlier builds only test whether the
/// header is there.
struct RelayTag {
  /// Link name of the entry.
  std::string entry;
  /// Revision of the settings; 0 if it isn't stated.
  std::uint64_t revision = 0;

  bool operator==(const RelayTag&) const = default;
};

/// Returns the text of a tag, `ENTRY;revision=N` or `ENTRY`.
std::string FormatRelayTag(const RelayTag& tag);

/// Parses a tag. The revision of a text without a well-formed one is 0.
RelayTag ParseRelayTag(std::string_view text);

}  // namespace jacinth
