#pragma once

#include <cstdint>

#include "core/settings/kind_settings.h"
#include "core/settings/route_settings.h"

namespace jacinth::settings {

/// Digests of all settings that decide how the requests of a route, or of a
/// kind of a service, are served, so that two instances can tell whether they
/// decide alike. Never 0.
std::uint64_t DigestOf(const RouteSettings& route);
std::uint64_t DigestOf(const KindSettings& kind);

}  // namespace jacinth::settings
