#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings/route_settings.h"
#include "core/settings/service_settings.h"
#include "core/settings/tree.h"

namespace jacinth::settings {

/// Typed settings built from a whole settings tree. Immutable once built.
struct FleetSettings {
  std::uint64_t revision = 0;
  std::map<std::string, ServiceSettings> services;
  /// Routes by normalized host, longest path prefix first; those with the same
  /// prefix by name.
  std::map<std::string, std::vector<RouteSettings>, std::less<>> routes;
  std::int64_t max_body_bytes = 0;
  std::int64_t max_header_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
  Duration ledger_retention{0};
  /// CIDR blocks of client addresses by region, in their text form.
  std::map<std::string, std::vector<std::string>> client_blocks;
  /// Entry instances that an operator drains, by name.
  std::map<std::string, bool> drained_entries;
  /// Failure domains that an operator drains.
  std::set<std::string> drained_failure_domains;

  /// Returns the route of a request, or nullptr if none matches. `host` is
  /// normalized.
  const RouteSettings* FindRoute(std::string_view host,
                                 std::string_view path) const;

  bool operator==(const FleetSettings&) const = default;
};

/// Builds the typed settings of a tree that ValidateTree has accepted.
std::shared_ptr<const FleetSettings> BuildFleetSettings(const Tree& tree,
                                                        std::uint64_t revision);

/// Returns the same as BuildFleetSettings(tree, revision), for a `tree` that
/// has resulted from that of `previous` by replacing `changed_branches`. Builds
/// only the routes and services that these belong to, if they belong to any.
std::shared_ptr<const FleetSettings> UpdateFleetSettings(
    const FleetSettings& previous,
    const Tree& tree,
    std::span<const std::string> changed_branches,
    std::uint64_t revision);

}  // namespace jacinth::settings
