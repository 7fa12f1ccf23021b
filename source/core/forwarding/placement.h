#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinth::forwarding {

/// What the choice of an endpoint for one attempt depends on.
struct Placement {
  /// Region of the entry instance.
  std::string home;
  /// Endpoints to avoid.
  std::set<std::string> tried;
  /// Regions that may serve the request; empty for all.
  std::vector<std::string> regions;
  /// Hash of the object's slice, if requests for one object prefer one
  /// endpoint.
  std::optional<std::uint64_t> object;
  /// Endpoint that owns the slice; empty if none does.
  std::string owner;
  /// Any number; spreads requests that prefer no endpoint.
  std::uint64_t draw = 0;
};

}  // namespace jacinth::forwarding
