#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/settings/setting_spec.h"

namespace jacinth::settings {

/// Types of branches of the settings tree, as bit flags so that a setting can
/// be allowed in several kinds.
enum class BranchScope : std::uint32_t {
  kRoot = 1U << 0U,
  kServices = 1U << 1U,
  kService = 1U << 2U,
  kServiceRegion = 1U << 3U,
  kKind = 1U << 4U,
  kEndpoint = 1U << 5U,
  kRegion = 1U << 6U,
  kFailureDomain = 1U << 7U,
  kEntry = 1U << 8U,
  kClients = 1U << 9U,
  kRoutes = 1U << 10U,
  kRoute = 1U << 11U,
};

/// Bitwise combination of BranchScope flags.
using BranchScopeMask = std::uint32_t;

constexpr BranchScopeMask operator|(BranchScope left, BranchScope right) {
  return static_cast<BranchScopeMask>(left) |
         static_cast<BranchScopeMask>(right);
}

constexpr BranchScopeMask operator|(BranchScopeMask left, BranchScope right) {
  return left | static_cast<BranchScopeMask>(right);
}

/// Describes one setting of the settings tree.
struct TreeSettingSpec {
  std::string_view key;
  BranchScopeMask scopes;
  SettingType type;
  IntegerRange range;
  /// Empty if the setting has no default.
  std::string_view default_value;
  std::string_view description;
};

/// Returns the descriptions of all settings of the settings tree.
std::span<const TreeSettingSpec> TreeSettingTable();

/// Returns the description of `key`, or nullptr if the key is unknown.
const TreeSettingSpec* FindTreeSetting(std::string_view key);

/// Returns the scope of `branch`, or nullopt if the path matches no scope.
std::optional<BranchScope> FindBranchScope(std::string_view branch);

/// Returns the pattern of the paths in a scope, such as `service/<name>`.
std::string_view ScopePattern(BranchScope scope);

}  // namespace jacinth::settings
