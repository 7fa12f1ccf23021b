#pragma once

#include <cstddef>
#include <tuple>
#include <vector>

#include "core/protocol/location.h"

namespace jacinth::consensus {

/// Measures how well voters bear the loss of a region or a failure domain. Of
/// two groups of the same size, the one with the lesser spread value is better.
struct VoterSpread {
  /// Number of voters that regions and failure domains hold beyond those that
  /// the group can lose at once.
  std::size_t excess = 0;
  /// Sum of the squares of the numbers of voters in each region.
  std::size_t region_crowding = 0;
  /// The same for failure domains.
  std::size_t domain_crowding = 0;

  bool operator==(const VoterSpread&) const = default;
  bool operator<(const VoterSpread& other) const {
    return std::tie(excess, region_crowding, domain_crowding) <
           std::tie(other.excess, other.region_crowding, other.domain_crowding);
  }
};

/// A voter whose location is unknown counts as standing alone.
VoterSpread MeasureSpread(const std::vector<protocol::Location>& voters);

}  // namespace jacinth::consensus
