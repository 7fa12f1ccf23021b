#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace jacinth::entry {

/// Returns true if a request may be served in the region; an empty list allows
/// all regions.
inline bool IsAllowedRegion(const std::vector<std::string>& allowed,
                            const std::string& region) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

}  // namespace jacinth::entry
