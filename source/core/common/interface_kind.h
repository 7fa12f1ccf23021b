#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// What an instance speaks with callers, endpoints and operators.
enum class InterfaceKind {
  /// The product's own.
  kNative,
  /// The users' platform, through the adapter in platform/.
  kPlatform,
};

/// Parses "native" or "platform".
std::optional<InterfaceKind> InterfaceKindFromName(std::string_view name);

}  // namespace jacinth
