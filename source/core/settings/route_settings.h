#pragma once

#include <string>
#include <vector>

#include "core/settings/kind_settings.h"

namespace jacinth::settings {

/// A service's share of a route.
struct RouteShare {
  std::string service;
  int weight = 1;
};

/// Requests of one host and path prefix, and where they go.
struct RouteSettings {
  std::string host;
  KindSettings kind;
  /// At least one; the shares follow from the weights.
  std::vector<RouteShare> shares;
};

}  // namespace jacinth::settings
