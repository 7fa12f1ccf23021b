#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinth::forwarding {

/// Criteria for the selection of an endpoint for one attempt.
struct EndpointCriteria {
  /// Region of the entry instance.
  std::string home;
  /// Endpoints that were already tried and are excluded.
  std::set<std::string> tried;
  /// Regions that are allowed to serve the request; empty for all.
  std::vector<std::string> regions;
  /// Hash of the object's slice if the requests for one object are sent to one
  /// endpoint where possible; otherwise empty.
  std::optional<std::uint64_t> object;
  /// Endpoint that owns the slice; empty if the slice has no owner.
  std::string owner;
  /// Random number that distributes requests without an object.
  std::uint64_t draw = 0;
};

}  // namespace jacinth::forwarding
