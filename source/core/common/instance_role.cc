#include "core/common/instance_role.h"

#include <array>

#include "core/common/name_table.h"

namespace jacinth {
namespace {

constexpr std::array kNames = {
    NamedValue<InstanceRole>{InstanceRole::kEntry, "entry"},
    NamedValue<InstanceRole>{InstanceRole::kControl, "control"},
};

}  // namespace

std::string_view InstanceRoleName(InstanceRole role) {
  return EnumName(kNames, role);
}

std::optional<InstanceRole> InstanceRoleFromName(std::string_view name) {
  return EnumFromName(kNames, name);
}

}  // namespace jacinth
