#include "core/common/interface_kind.h"

#include <array>

#include "core/common/name_table.h"

namespace jacinth {
namespace {

constexpr std::array kNames = {
    NamedValue<InterfaceKind>{InterfaceKind::kNative, "native"},
    NamedValue<InterfaceKind>{InterfaceKind::kPlatform, "platform"},
};

}  // namespace

std::optional<InterfaceKind> InterfaceKindFromName(std::string_view name) {
  return EnumFromName(kNames, name);
}

}  // namespace jacinth
