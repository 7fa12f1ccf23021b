#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// Protocol that an instance uses with callers, endpoints and operators.
enum class InterfaceKind {
  /// The native HTTP interface of the product.
  kNative,
  /// The interface of the users' platform, implemented by the adapter in
  /// platform/.
  kPlatform,
};

/// Parses "native" or "platform".
std::optional<InterfaceKind> InterfaceKindFromName(std::string_view name);

}  // namespace jacinth
