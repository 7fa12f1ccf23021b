#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/settings/kind_settings.h"

namespace jacinth::settings {

/// A service to which a route sends part of its requests.
struct RouteShare {
  std::string service;
  /// Not negative; only the proportions of the weights of a route matter.
  std::int64_t weight = 1;

  bool operator==(const RouteShare&) const = default;
};

/// Settings of one route: which requests it matches and which services serve
/// them.
struct RouteSettings {
  /// As NormalizeHost() returns it.
  std::string host;
  KindSettings kind;
  /// At least one service. Each gets a share of the requests in proportion to
  /// its weight. If all weights are 0, every request is refused.
  std::vector<RouteShare> shares;

  bool operator==(const RouteSettings&) const = default;
};

}  // namespace jacinth::settings
