#pragma once

#include <string>
#include <vector>

#include "core/settings/route_settings.h"

namespace jacinth::entry {

/// Deals a route's requests out to its services in proportion to the weights,
/// so that every run of requests is close to them (smooth weighted round
/// robin).
class WeightedRoundRobin {
 public:
  /// The service of the next request; empty if no share has a weight.
  std::string Next(const std::vector<settings::RouteShare>& shares);

 private:
  struct Candidate {
    std::string service;
    int weight = 0;
    long credit = 0;
  };

  bool HasSameShares(const std::vector<settings::RouteShare>& shares) const;

  std::vector<Candidate> candidates_;
};

}  // namespace jacinth::entry
