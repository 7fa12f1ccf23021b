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
  std::string home_region;
  /// Endpoints that must not be selected, as the request was already tried
  /// there.
  std::set<std::string> excluded_endpoints;
  /// Regions that are allowed to serve the request; empty if all are.
  std::vector<std::string> regions;
  /// Hash of the slice of the request's object if the requests for one object
  /// are sent to the same endpoint where possible; otherwise empty.
  std::optional<std::uint64_t> slice_hash;
  /// Endpoint that owns the slice; empty if the slice has no owner.
  std::string owner;
  /// Pseudorandom number that distributes requests without an object.
  std::uint64_t random_value = 0;
};

}  // namespace jacinth::forwarding
