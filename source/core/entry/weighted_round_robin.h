#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/settings/route_settings.h"

namespace jacinth::entry {

/// Distributes the requests of a route over its services by smooth weighted
/// round robin: in any sequence of consecutive requests, the share of each
/// service is close to its weight.
class WeightedRoundRobin {
 public:
  /// Returns the service of the next request; empty if no share has a positive
  /// weight.
  std::string Next(const std::vector<settings::RouteShare>& shares);

 private:
  struct Candidate {
    std::string service;
    std::int64_t weight = 0;
    /// Weight accumulated since the service was last selected; the service with
    /// the highest credit is selected next. The sum of 64-bit weights may need
    /// more than 64 bits.
    double credit = 0;
  };

  bool HasSameShares(const std::vector<settings::RouteShare>& shares) const;

  std::vector<Candidate> candidates_;
};

}  // namespace jacinth::entry
