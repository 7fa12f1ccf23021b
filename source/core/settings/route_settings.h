#pragma once

#include <string>
#include <vector>

#include "core/settings/kind_settings.h"

namespace jacinth::settings {

/// A service to which a route sends part of its requests.
struct RouteShare {
  std::string service;
  int weight = 1;

  bool operator==(const RouteShare&) const = default;
};

/// Settings of one route: which requests it matches and which services serve
/// them.
struct RouteSettings {
  /// As NormalizeHost() returns it.
  std::string host;
  KindSettings kind;
  /// At least one service. Each gets a share of the requests in proportion to
  /// its weight.
  std::vector<RouteShare> shares;

  bool operator==(const RouteSettings&) const = default;
};

}  // namespace jacinth::settings
