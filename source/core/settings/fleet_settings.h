#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/settings/service_settings.h"
#include "core/settings/tree.h"

namespace jacinth::settings {

/// The typed form of a whole settings tree; immutable once built.
struct FleetSettings {
  std::uint64_t revision = 0;
  std::map<std::string, ServiceSettings> services;
  std::int64_t max_body_bytes = 0;
  Duration ledger_retention{0};
  /// Blocks of client addresses by region, as written.
  std::map<std::string, std::vector<std::string>> client_blocks;
  /// Entry instances that an operator drains.
  std::map<std::string, bool> entry_drains;
};

/// Builds the typed form of a tree that passed ValidateTree.
std::shared_ptr<const FleetSettings> BuildFleetSettings(const Tree& tree,
                                                        std::uint64_t revision);

}  // namespace jacinth::settings
