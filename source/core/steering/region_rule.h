#pragma once

#include <string_view>

#include "core/settings/fleet_settings.h"

namespace jacinth::steering {

/// Whether callers may use entries of other regions than their own beside
/// planned work.
enum class RegionRule {
  /// Only if their region has no usable entry, or has lost entries that didn't
  /// announce their stop.
  kKeep,
  /// If too few entries of their region are usable, for whatever reason.
  kPrefer,
};

/// Returns the rule for the callers of a host: they are kept in their region if
/// one of its routes has regions, or if the host isn't known here. `host` is
/// normalized.
RegionRule RegionRuleOf(const settings::FleetSettings* fleet,
                        std::string_view host);

}  // namespace jacinth::steering
