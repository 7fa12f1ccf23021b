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
  /// Digest of those that decide the request; 0 if it isn't stated.
  std::uint64_t decision = 0;
  /// Incarnation of the entry that the request is handed to; 0 if it isn't
  /// stated. See IsFromEntry().
  std::uint64_t key = 0;

  bool operator==(const RelayTag&) const = default;
};

/// Returns the text of a tag, `ENTRY;key=N;decision=N;revision=N` without the
/// numbers that aren't stated. Earlier builds read the revision at the end.
std::string FormatRelayTag(const RelayTag& tag);

/// Parses a tag. Numbers that a text lacks or that are malformed are 0.
RelayTag ParseRelayTag(std::string_view text);

}  // namespace jacinth
