#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// Role of an instance. One instance can have both.
enum class InstanceRole {
  kEntry,
  kControl,
};

/// Returns "entry" or "control".
std::string_view InstanceRoleName(InstanceRole role);

/// Parses a name returned by InstanceRoleName.
std::optional<InstanceRole> InstanceRoleFromName(std::string_view name);

}  // namespace jacinth
